package eventloop

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// listenWithoutAccept returns a listener without an accept loop. Its connections stay in the system's queue
// until Close passes them to accept.
func listenWithoutAccept(t *testing.T, accept func(net.Conn)) *Listener {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	acceptLoopDone := make(chan struct{})
	close(acceptLoopDone)
	return &Listener{Listener: raw, acceptLoopDone: acceptLoopDone, accept: accept}
}

// connectUntilCleanup connects to a listener and closes the connection at the end of the test.
func connectUntilCleanup(t *testing.T, ln *Listener) {
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
}

// TestListenerCloseAcceptsQueue checks that Close accepts the connections in the system's queue instead of
// resetting them.
func TestListenerCloseAcceptsQueue(t *testing.T) {
	var accepted []net.Conn
	ln := listenWithoutAccept(t, func(c net.Conn) { accepted = append(accepted, c) })
	for range 3 {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		_, err = c.Write([]byte("x"))
		require.NoError(t, err)
	}
	require.NoError(t, ln.Close())
	require.Len(t, accepted, 3)
	for _, c := range accepted {
		b := make([]byte, 1)
		_, err := c.Read(b)
		require.NoError(t, err)
		require.Equal(t, "x", string(b))
		c.Close()
	}
}

// TestListenerCloseAcceptsQueueOnceRefusing checks that connections that are queued when the listener refuses
// new ones are accepted and not reset, even if the accept loop is paused and does not accept them.
func TestListenerCloseAcceptsQueueOnceRefusing(t *testing.T) {
	var accepted []net.Conn
	ln := listenWithoutAccept(t, func(c net.Conn) { accepted = append(accepted, c) })
	ln.awaitHandshakes = func() {}
	const queued = 3
	for range queued {
		connectUntilCleanup(t, ln)
	}
	require.NoError(t, ln.Close())
	for _, c := range accepted {
		c.Close()
	}
	require.Len(t, accepted, queued)
}

// TestListenerCloseUnderFlood checks that Close returns even if the queue never becomes empty, because each
// accepted connection is followed by a new one.
func TestListenerCloseUnderFlood(t *testing.T) {
	const queued = 3
	accepted := 0
	var ln *Listener
	ln = listenWithoutAccept(t, func(c net.Conn) {
		c.Close()
		if accepted++; accepted < 100*queued { // ends the flood if Close has no limit
			connectUntilCleanup(t, ln)
		}
	})
	for range queued {
		connectUntilCleanup(t, ln)
	}
	require.NoError(t, ln.Close())
	require.Equal(t, maxAcceptRounds*queued, accepted, "Close must accept new arrivals in each of maxAcceptRounds rounds")
}

// TestListenerCloseAcceptsWhatComesMeanwhile checks that a connection that arrives while Close accepts earlier
// ones is accepted and not reset.
func TestListenerCloseAcceptsWhatComesMeanwhile(t *testing.T) {
	const late = 5
	accepted := 0
	var ln *Listener
	ln = listenWithoutAccept(t, func(c net.Conn) {
		c.Close()
		if accepted++; accepted <= late {
			connectUntilCleanup(t, ln)
		}
	})
	connectUntilCleanup(t, ln)
	require.NoError(t, ln.Close())
	require.Equal(t, 1+late, accepted)
}

// TestListenerCloseWaitsForAccepted checks that a connection that is accepted while the listener closes is
// registered before Close returns.
func TestListenerCloseWaitsForAccepted(t *testing.T) {
	loop, err := New(4)
	require.NoError(t, err)
	defer loop.Stop()
	accepting, resume := make(chan struct{}), make(chan struct{})
	registered := make(chan struct{}, 1)
	var notFirst atomic.Bool
	ln, err := loop.Listen("127.0.0.1:0", func(*Conn) Handler {
		if !notFirst.Swap(true) {
			close(accepting)
			<-resume
			registered <- struct{}{}
		}
		return &blockingHandler{}
	}, func(err error) { t.Error(err) })
	require.NoError(t, err)
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	<-accepting
	closed := make(chan bool, 1)
	go func() {
		ln.Close()
		closed <- len(registered) == 1
	}()
	require.Eventually(t, func() bool { // the listener is closed, but the connection is not registered yet
		c, err := net.Dial("tcp", ln.Addr().String())
		if err == nil {
			c.Close()
		}
		return err != nil
	}, 10*time.Second, time.Millisecond)
	close(resume)
	require.True(t, <-closed)
}
