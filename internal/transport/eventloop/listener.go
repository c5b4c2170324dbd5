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
	// handshakeTime is how long a handshake that has begun may take to complete once a listener
	// refuses new ones: as long as a request may take to cross a close (exchange.CloseRaceWindow).
	handshakeTime = 50 * time.Millisecond
	// noInterface is an interface index that no interface has: the system counts them up from 1.
	noInterface = math.MaxInt32
	// maxAcceptRounds is how often a closing listener looks whether more connections have come
	// while it accepted what it had: where nobody floods it, its queue is empty after one or two.
	maxAcceptRounds = 16
	// unknownQueueLength is how many connections a closing listener tries to accept where the
	// system does not tell how many wait.
	unknownQueueLength = 128
	// acceptRetryDelay is the pause after a failed accept, mostly for want of descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// Listener accepts connections until it is closed.
type Listener struct {
	net.Listener
	accept          func(net.Conn)
	done            chan struct{} // closed once nothing is accepted any more
	awaitHandshakes func()        // returns when those that have begun have had their time; nil: Close does not refuse new ones
}

// Listen accepts connections on the address until the listener is closed. Connections that can't
// be accepted are reported to failed.
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
	listener := &Listener{Listener: raw, accept: accept, done: make(chan struct{}), awaitHandshakes: func() { time.Sleep(handshakeTime) }}
	go func() {
		defer close(listener.done)
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
	// maxThrottle is the longest pause of one accept.
	maxThrottle = 100 * time.Millisecond
	// throttleInterval is the time between two looks at the backlog meanwhile.
	throttleInterval = time.Millisecond
)

// throttleAccepts waits, for maxThrottle at most, while more aborted connections hold
// a descriptor than may linger, so that callers that connect without end get no further ahead of
// the loop than that.
func (l *Loop) throttleAccepts() {
	for range maxThrottle / throttleInterval {
		l.mu.Lock()
		backlog := len(l.aborted)
		l.mu.Unlock()
		if backlog <= l.maxLingering {
			return
		}
		time.Sleep(throttleInterval)
	}
}

// Close refuses new connections, accepts those whose handshakes have begun, and closes the listener:
// a connection that is queued, or half way through its handshake, when the descriptor is closed is
// reset, with the request on it. Where the system can't refuse, which the error says, more may come
// until the descriptor is closed. Close returns however fast callers go on connecting.
func (l *Listener) Close() error {
	queueErr := l.acceptLast()
	// The descriptor stays open until the accept under way has returned, which may be late.
	closeErr := l.Listener.Close()
	<-l.done // what was accepted meanwhile is handed over too
	return errors.Join(queueErr, closeErr)
}

// acceptLast has no more connections come, where awaitHandshakes is set, and accepts those that have.
func (l *Listener) acceptLast() error {
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
		if refuseErr = refuseNew(raw); refuseErr == nil {
			l.awaitHandshakes()
		}
	}
	controlErr := raw.Control(func(fd uintptr) { acceptQueued(int(fd), l.accept) })
	return errors.Join(refuseErr, controlErr)
}

// refuseNew has the system refuse new connections to a listener: bound to an interface that does not
// exist, it matches no connection request. One that is being handled just then may be dropped, and is
// refused when the caller repeats it, after a second. Handshakes that have begun go on with the
// binding that they began with. Older kernels may want CAP_NET_RAW for it, or not know it.
func refuseNew(listener syscall.RawConn) error {
	var bindErr error
	controlErr := listener.Control(func(fd uintptr) {
		bindErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
	})
	if err := errors.Join(controlErr, bindErr); err != nil {
		return fmt.Errorf("refuse new connections: %w", err)
	}
	return nil
}

// acceptQueued accepts what waits in a listener's queue, and what comes meanwhile, as far as
// callers give the queue a chance to empty.
func acceptQueued(listener int, accept func(net.Conn)) {
	for range maxAcceptRounds {
		n := queueLength(listener)
		if n == 0 || !acceptSome(listener, n, accept) {
			return
		}
	}
}

// acceptSome accepts at most n connections, and reports whether there may be more.
func acceptSome(listener, n int, accept func(net.Conn)) bool {
	for range n {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		switch err {
		case nil:
			if c, err := connOfDescriptor(fd); err == nil {
				accept(c)
			}
		case syscall.EINTR, syscall.ECONNABORTED: // says nothing of those behind it
		default:
			return false // the queue is empty, or descriptors have run out
		}
	}
	return true
}

// queueLength is how many connections wait in a listener's queue: for a socket that listens the
// kernel reports them as unacknowledged (tcp_info in tcp(7)).
func queueLength(listener int) int {
	info, err := unix.GetsockoptTCPInfo(listener, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return unknownQueueLength
	}
	return int(info.Unacked)
}

// connOfDescriptor makes a net.Conn of a descriptor, which it takes over.
func connOfDescriptor(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "accepted")
	defer f.Close()
	return net.FileConn(f)
}
