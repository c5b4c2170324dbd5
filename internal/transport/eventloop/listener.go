package eventloop

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// handshakeGracePeriod is the time that TCP handshakes in progress have to complete after a closing
	// listener has refused new connections. It equals exchange.CloseRaceWindow, the longest time for which
	// a request may cross a close on the wire.
	handshakeGracePeriod = 50 * time.Millisecond
	// nonexistentInterface is an index that no network interface has: the system assigns indexes from 1 up.
	nonexistentInterface = math.MaxInt32
	// maxAcceptRounds limits how often a closing listener checks its queue for connections that arrived
	// while it accepted earlier ones. Without a flood of connections the queue is empty after one or two.
	maxAcceptRounds = 16
	// defaultQueueLength is how many connections a closing listener tries to accept if the system does
	// not report the length of the queue.
	defaultQueueLength = 128
	// acceptRetryDelay is the delay after a failed accept. The usual cause is a lack of descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// Listener accepts connections until it is closed.
type Listener struct {
	net.Listener
	accept          func(net.Conn)
	acceptLoopDone  chan struct{} // closed once the accept loop has returned
	awaitHandshakes func()        // waits for handshakes in progress; if nil, Close does not refuse new connections first
}

// Listen accepts connections on the address until the listener is closed. It calls failed with the error
// of each connection that cannot be accepted.
func (l *Loop) Listen(addr string, newHandler func(*Conn) Handler, failed func(error)) (*Listener, error) {
	raw, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	accept := func(conn net.Conn) {
		if _, err := l.register(conn, newHandler); err != nil {
			failed(err)
		}
	}
	listener := &Listener{Listener: raw, accept: accept, acceptLoopDone: make(chan struct{}), awaitHandshakes: func() { time.Sleep(handshakeGracePeriod) }}
	go func() {
		defer close(listener.acceptLoopDone)
		for {
			l.throttleAccepts()
			conn, err := raw.Accept()
			switch {
			case err == nil:
				listener.accept(conn)
			case errors.Is(err, net.ErrClosed):
				return
			default:
				failed(err)
				time.Sleep(acceptRetryDelay)
			}
		}
	}()
	return listener, nil
}

const (
	// maxThrottle is the longest delay of one accept.
	maxThrottle = 100 * time.Millisecond
	// throttlePollInterval is the interval at which a delayed accept polls the backlog.
	throttlePollInterval = time.Millisecond
)

// throttleAccepts waits, for at most maxThrottle, while more than maxLingering aborted connections still
// have an open descriptor. This limits how far callers that connect continuously can get ahead of the loop.
func (l *Loop) throttleAccepts() {
	for range maxThrottle / throttlePollInterval {
		l.mu.Lock()
		backlog := len(l.aborted)
		l.mu.Unlock()
		if backlog <= l.maxLingering {
			return
		}
		time.Sleep(throttlePollInterval)
	}
}

// Close refuses new connections, accepts those whose handshake is in progress, and closes the listener.
// When the descriptor is closed, the system resets queued connections and those in the middle of their
// handshake, and loses requests sent on them. If the system cannot refuse new connections, Close returns
// that error, and more connections may arrive until the descriptor is closed. Close returns even if
// callers continue to connect at a high rate.
func (l *Listener) Close() error {
	queueErr := l.acceptRemaining()
	// The descriptor stays open until the accept in progress has returned, which may take a while.
	closeErr := l.Listener.Close()
	<-l.acceptLoopDone // connections accepted in the meantime are registered too
	return errors.Join(queueErr, closeErr)
}

// acceptRemaining accepts the queued connections. If awaitHandshakes is set, it first refuses new
// connections and waits for handshakes in progress.
func (l *Listener) acceptRemaining() error {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var refuseErr error
	if l.awaitHandshakes != nil {
		if refuseErr = refuseNewConnections(raw); refuseErr == nil {
			l.awaitHandshakes()
		}
	}
	controlErr := raw.Control(func(fd uintptr) { acceptQueued(int(fd), l.accept) })
	return errors.Join(refuseErr, controlErr)
}

// refuseNewConnections makes the system refuse new connections to a listener, by binding it to a nonexistent
// interface, so that it matches no connection request. A request that the kernel handles at that moment may
// be dropped; it is refused when the caller retransmits it after a second. Handshakes in progress continue
// with the binding with which they started. Older kernels may require CAP_NET_RAW for this option or not
// support it.
func refuseNewConnections(listener syscall.RawConn) error {
	var bindErr error
	controlErr := listener.Control(func(fd uintptr) {
		bindErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, nonexistentInterface)
	})
	if err := errors.Join(controlErr, bindErr); err != nil {
		return fmt.Errorf("refuse new connections: %w", err)
	}
	return nil
}

// acceptQueued accepts the connections in a listener's queue, and those that arrive in the meantime, in at
// most maxAcceptRounds rounds.
func acceptQueued(listener int, accept func(net.Conn)) {
	for range maxAcceptRounds {
		n := queueLength(listener)
		if n == 0 || !acceptUpTo(listener, n, accept) {
			return
		}
	}
}

// acceptUpTo accepts at most n connections and reports whether the queue may hold more.
func acceptUpTo(listener, n int, accept func(net.Conn)) bool {
	for range n {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		switch err {
		case nil:
			if c, err := connFromDescriptor(fd); err == nil {
				accept(c)
			}
		case syscall.EINTR, syscall.ECONNABORTED: // the queue may still hold other connections
		default:
			return false // the queue is empty, or descriptors have run out
		}
	}
	return true
}

// queueLength returns the number of connections in a listener's queue. For a listening socket the kernel
// reports this number in tcpi_unacked (see tcp_info in tcp(7)).
func queueLength(listener int) int {
	info, err := unix.GetsockoptTCPInfo(listener, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return defaultQueueLength
	}
	return int(info.Unacked)
}

// connFromDescriptor returns a net.Conn for a descriptor and takes ownership of the descriptor.
func connFromDescriptor(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "accepted")
	defer f.Close()
	return net.FileConn(f)
}
