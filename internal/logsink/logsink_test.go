package logsink

import (
	"bufio"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStalledReader: while nobody reads the pipe, lines are queued until the buffer is
// full and then dropped; once somebody reads, all queued lines arrive complete and in
// order, with the number of those that were dropped.
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
	require.NoError(t, s.Sync(), "does not wait for a stalled reader")

	scan := bufio.NewScanner(reader)
	var complete, dropped int
	for complete+dropped < lines && scan.Scan() {
		if strings.HasPrefix(scan.Text(), "{") {
			var notice struct {
				Message string `json:"msg"`
				Lines   int    `json:"lines"`
			}
			require.NoError(t, json.Unmarshal(scan.Bytes(), &notice))
			require.Equal(t, "log lines dropped", notice.Message)
			dropped += notice.Lines
			continue
		}
		require.Equal(t, line, scan.Text()+"\n")
		complete++
	}
	require.NoError(t, scan.Err())
	require.Equal(t, lines, complete+dropped, "each line is written or counted")
	require.Positive(t, dropped, "the buffer is bounded")
	require.GreaterOrEqual(t, complete*len(line), maxBufferBytes/2)

	_, err = s.Write([]byte("afterwards\n"))
	require.NoError(t, err)
	require.True(t, scan.Scan())
	require.Equal(t, "afterwards", scan.Text())
}

// TestClosedReader: a pipe that nobody can read any more loses the lines, nothing else.
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
