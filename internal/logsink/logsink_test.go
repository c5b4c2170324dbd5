package logsink

import (
	"bufio"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStalledReader: while the reader of the pipe is stalled, lines are queued until the
// buffer is full and then dropped. When it reads again, all queued lines arrive complete and
// in order, with the number of dropped lines.
func TestStalledReader(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer reader.Close()
	s := New(writer)
	const lines = 8 << 10
	line := strings.Repeat("x", 127) + "\n"
	for range lines {
		n, err := s.Write([]byte(line))
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	require.NoError(t, s.Sync(), "Sync waits for a stalled reader")

	scan := bufio.NewScanner(reader)
	var complete, dropped int
	for complete+dropped < lines && scan.Scan() {
		if strings.HasPrefix(scan.Text(), "{") {
			var dropReport struct {
				Message string `json:"msg"`
				Lines   int    `json:"lines"`
			}
			require.NoError(t, json.Unmarshal(scan.Bytes(), &dropReport))
			require.Equal(t, "log lines dropped", dropReport.Message)
			dropped += dropReport.Lines
			continue
		}
		require.Equal(t, line, scan.Text()+"\n")
		complete++
	}
	require.NoError(t, scan.Err())
	require.Equal(t, lines, complete+dropped, "each line must be written or counted as dropped")
	require.Positive(t, dropped, "the buffer must be bounded")
	require.GreaterOrEqual(t, complete*len(line), maxBufferBytes/2)

	_, err = s.Write([]byte("afterwards\n"))
	require.NoError(t, err)
	require.True(t, scan.Scan())
	require.Equal(t, "afterwards", scan.Text())
}

// TestClosedReader: if the reader of the pipe is closed, lines are lost, but Write and Sync do
// not fail.
func TestClosedReader(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	require.NoError(t, reader.Close())
	s := New(writer)
	for range 3 {
		_, err = s.Write([]byte("nobody reads this\n"))
		require.NoError(t, err)
		require.NoError(t, s.Sync())
	}
}
