package tests

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRequestsOfGoneCallersAreNotRun guards against runs for callers that have left: callers send complete requests and
// close or reset their connections while the service stands still. None may run, and if the same ids come again, each
// runs once.
func TestRequestsOfGoneCallersAreNotRun(t *testing.T) {
	t.Parallel()
	for name, dial := range protocolDialers {
		for how, leave := range map[string]func(*net.TCPConn){
			"close": func(*net.TCPConn) {},
			"reset": func(c *net.TCPConn) { c.SetLinger(0) },
		} {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				w := newTestbed(t, nil)
				require.NoError(t, w.Signal(syscall.SIGSTOP))
				var traces []string
				for i := range 40 {
					c, err := dial(w.service, i)
					require.NoError(t, err)
					traces = append(traces, newTraceID())
					_, err = c.(net.Conn).Write(nomSubmit(c, traces[i], "ok"))
					require.NoError(t, err)
					leave(rawConn(c))
					c.Close()
				}
				require.NoError(t, w.Signal(syscall.SIGCONT))
				await(t, "a served request", func() bool { return w.responseStatus("nom-submit", "ok") == 200 })
				time.Sleep(100 * time.Millisecond) // for a run that the service would begin late
				require.Equal(t, 1, w.engine.countReceived("RUN "), "runs of callers that have left")
				for i, trace := range traces {
					c, err := dial(w.service, i)
					require.NoError(t, err)
					a, err := c.do("/call/nom-submit", requestHeaders(trace), []byte("ok"))
					require.NoError(t, err)
					assert.Equal(t, 200, a.status)
					assert.Equal(t, 1, w.engine.countReceived("RUN "+trace))
					c.Close()
				}
			})
		}
	}
}

// rawConn returns the TCP connection of a client.
func rawConn(c protocolClient) *net.TCPConn {
	if fcgi, ok := c.(*fcgiConn); ok {
		return fcgi.Conn.(*net.TCPConn)
	}
	return c.(*ajpConn).Conn.(*net.TCPConn)
}
