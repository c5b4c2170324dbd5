package main

import (
	"bytes"
	"compress/gzip"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRecordingsReplayBitForBit replays each recorded input testdata/recordings/NAME.in.gz and
// compares the output byte for byte with the recorded output NAME.out.gz. A difference means that a
// decision of the admission controller has changed. The recordings cover servers of simulated days at
// two sites, the simulator's adapter check under several settings, and random settings and events. They
// were made on amd64; on other processors the compiler may fuse floating-point operations, which can
// change results.
func TestRecordingsReplayBitForBit(t *testing.T) {
	inputs, err := filepath.Glob("testdata/recordings/*.in.gz")
	require.NoError(t, err)
	require.Len(t, inputs, 12)
	for _, input := range inputs {
		name := strings.TrimSuffix(filepath.Base(input), ".in.gz")
		t.Run(name, func(t *testing.T) {
			recorded := readGzip(t, strings.TrimSuffix(input, ".in.gz")+".out.gz")
			var replayed bytes.Buffer
			require.NoError(t, run(bytes.NewReader(readGzip(t, input)), &replayed))
			requireEqualLines(t, recorded, replayed.Bytes())
		})
	}
}

// requireEqualLines fails the test with the first line that differs, not with both complete texts.
func requireEqualLines(t *testing.T, want, got []byte) {
	t.Helper()
	if bytes.Equal(want, got) {
		return
	}
	wantLines := strings.SplitAfter(string(want), "\n")
	gotLines := strings.SplitAfter(string(got), "\n")
	for i := range min(len(wantLines), len(gotLines)) {
		if wantLines[i] != gotLines[i] {
			t.Fatalf("line %d: %q, recorded %q", i+1, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("%d lines, recorded %d", len(gotLines), len(wantLines))
}

func readGzip(t *testing.T, path string) []byte {
	t.Helper()
	file, err := os.Open(path)
	require.NoError(t, err)
	defer func() { require.NoError(t, file.Close()) }()
	unpacked, err := gzip.NewReader(file)
	require.NoError(t, err)
	text, err := io.ReadAll(unpacked)
	require.NoError(t, err)
	return text
}
