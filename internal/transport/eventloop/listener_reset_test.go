package eventloop

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// echoHandler is a Handler that sends received bytes back.
type echoHandler struct{ conn *Conn }

func (e *echoHandler) OnData(b []byte) { e.conn.Write(b) }

func (e *echoHandler) OnClose(error) {}

// listenEcho starts a loop and returns a listener whose connections echo their input.
func listenEcho(t *testing.T) *Listener {
	loop, err := New(64)
	require.NoError(t, err)
	t.Cleanup(loop.Stop)
	ln, err := loop.Listen("127.0.0.1:0", func(c *Conn) Handler { return &echoHandler{c} }, func(err error) { t.Error(err) })
	require.NoError(t, err)
	return ln
}

// withDescriptor calls use with the listener's descriptor, which stays open until use returns.
func withDescriptor(t *testing.T, ln *Listener, use func(fd int)) {
	raw, err := ln.Listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { use(int(fd)) }))
}

// isRefused reports whether the connection was refused.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// roundTrip sends a byte and waits for its echo.
func roundTrip(c net.Conn) error {
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return err
	}
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// TestListenerCloseWhileDescriptorIsHeld checks a close whose interrupted accept keeps the descriptor in use
// until its goroutine runs, so that the system continues to listen. A connection that is opened in that time
// must not be reset.
func TestListenerCloseWhileDescriptorIsHeld(t *testing.T) {
	ln := listenEcho(t)
	descriptorInUse, release, released := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(released)
		withDescriptor(t, ln, func(int) { // simulates an accept that returns late
			close(descriptorInUse)
			<-release
		})
	}()
	<-descriptorInUse
	closed := make(chan error, 1)
	go func() { closed <- ln.Close() }()
	<-ln.acceptLoopDone // Close has accepted the queue, and the accept loop has returned
	c, err := net.Dial("tcp", ln.Addr().String())
	close(release)
	<-released
	require.NoError(t, <-closed)
	if err == nil {
		defer c.Close()
		err = roundTrip(c)
	}
	require.Condition(t, func() bool { return isRefused(err) || errors.Is(err, io.EOF) }, "neither refused nor closed gracefully: %v", err)
}

// deferAccept makes the system complete a listener's handshakes only when data arrives.
func deferAccept(t *testing.T, ln *Listener) {
	withDescriptor(t, ln, func(fd int) {
		const deferSeconds = 20
		require.NoError(t, unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, deferSeconds))
	})
}

// TestListenerCloseDuringHandshake closes a listener while the last segment of a caller's handshake is on the
// way, so that the caller already regards itself as connected. The close must not reset that connection, and
// must refuse new ones.
func TestListenerCloseDuringHandshake(t *testing.T) {
	ln := listenEcho(t)
	deferAccept(t, ln)
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	var roundTripErr, lateDialErr error
	ln.awaitHandshakes = func() {
		_, lateDialErr = net.Dial("tcp", ln.Addr().String())
		roundTripErr = roundTrip(c)
	}
	require.NoError(t, ln.Close())
	require.True(t, isRefused(lateDialErr), "not refused: %v", lateDialErr)
	require.NoError(t, roundTripErr)
}

// TestListenerCloseAcceptsCompletedHandshake checks that Close accepts a connection whose handshake completes
// while it waits, if the accept loop does not accept the connection.
func TestListenerCloseAcceptsCompletedHandshake(t *testing.T) {
	var accepted []net.Conn
	ln := listenWithoutAccept(t, func(c net.Conn) { accepted = append(accepted, c) })
	deferAccept(t, ln)
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	var writeErr error
	ln.awaitHandshakes = func() { _, writeErr = c.Write([]byte("x")) }
	require.NoError(t, ln.Close())
	require.NoError(t, writeErr)
	require.Len(t, accepted, 1)
	accepted[0].Close()
}

// TestListenerCloseGivesHandshakesTime checks that Close waits for handshakes in progress.
func TestListenerCloseGivesHandshakesTime(t *testing.T) {
	ln := listenEcho(t)
	start := time.Now()
	require.NoError(t, ln.Close())
	require.GreaterOrEqual(t, time.Since(start), handshakeGracePeriod)
}

// TestListenerCloseUnderConnects closes listeners while callers connect continuously. Each connection must be
// either served or refused, and Close must return.
func TestListenerCloseUnderConnects(t *testing.T) {
	const (
		listeners          = 30
		callersPerListener = 8
	)
	failures := make(chan error, listeners*callersPerListener)
	for range listeners {
		ln := listenEcho(t)
		var callers sync.WaitGroup
		for range callersPerListener {
			callers.Go(func() {
				for {
					c, err := net.Dial("tcp", ln.Addr().String())
					if err == nil {
						err = roundTrip(c)
						c.Close()
					}
					if err != nil {
						failures <- err
						return
					}
				}
			})
		}
		time.Sleep(2 * time.Millisecond) // lets some callers connect
		require.NoError(t, ln.Close())
		callers.Wait()
	}
	close(failures)
	for err := range failures {
		require.True(t, isRefused(err), "not refused: %v", err)
	}
}
