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

// TestRecordingsReplayBitForBit feeds the recorded input of each file
// testdata/recordings/NAME.in.gz to the adapter and compares its output byte
// for byte with NAME.out.gz, the output of the program at the time of the
// recording. The files hold instances of simulated days at two sites, the
// adapter drill under several settings, and drills of random settings. They
// were recorded on amd64; the compiler may fuse floating-point operations on
// other processors.
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

// requireEqualLines reports the first line that differs rather than both texts.
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
