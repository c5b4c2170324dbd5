package tests

import (
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// sendBadRequests makes the service log more than the capacity of a one-page pipe.
func sendBadRequests(t *testing.T, w *testbed) {
	for range 3 {
		c, err := dialFCGI(w.fcgiAddr)
		require.NoError(t, err)
		for range 12 { // a connection may send 16 malformed requests
			a, err := c.do("/call/other", requestHeaders(newTraceID()), nil)
			require.NoError(t, err)
			assert.Equal(t, 400, a.status)
		}
		c.Close()
	}
}

// TestLogNobodyReads: a log reader that blocks or exits must not keep the service from answering, or from
// exiting in time.
func TestLogNobodyReads(t *testing.T) {
	t.Parallel()
	for name, readerCloses := range map[string]bool{"stands": false, "leaves": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reader, writer, err := os.Pipe()
			require.NoError(t, err)
			defer reader.Close()
			_, err = unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize())
			require.NoError(t, err)
			w := newTestbedWithLog(t, writer, nil)
			writer.Close()
			if readerCloses {
				reader.Close()
			}
			sendBadRequests(t, w)
			assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
			require.NoError(t, w.Signal(syscall.SIGHUP))
			assert.Equal(t, 200, w.responseStatus("nom-submit", "call"))
			w.terminate()
		})
	}
}
