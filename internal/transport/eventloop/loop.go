package eventloop

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

const (
	readBufferBytes = 16 << 10
	// maxReadsPerEvent is how many buffers are read from one connection in a row. It is enough for the
	// longest message, so that a message is read completely even if the peer closes right after it.
	maxReadsPerEvent = 5
)

// Loop is the event loop.
type Loop struct {
	engine       *nbio.Engine
	maxLingering int        // target for the number of lingering connections
	registerMu   sync.Mutex // serializes conversions of connections: nbio duplicates the descriptor during each

	mu        sync.Mutex // also makes sure that a Conn is initialized before its first use
	lingering []*Conn    // closing connections, the oldest first
	aborted   []*Conn    // aborted connections whose descriptor is not closed yet

	readingConn atomic.Pointer[nbio.Conn] // the connection that the loop reads, or whose input is being handled
	readBuffer  []byte                    // used only by the loop's goroutine
}

// New starts a loop in which at most maxLingering connections, or twice as many for a short time, wait for
// their peers to close (see linger.go).
func New(maxLingering int) (*Loop, error) {
	logging.SetLevel(logging.LevelNone)
	l := &Loop{maxLingering: maxLingering, readBuffer: make([]byte, readBufferBytes)}
	l.engine = nbio.NewEngine(nbio.Config{
		Name:                         "loop",
		NPoller:                      1,
		ReadBufferSize:               readBufferBytes,
		MaxWriteBufferSize:           maxQueuedBytes,
		MaxConnReadTimesPerEventLoop: maxReadsPerEvent,
	})
	l.engine.OnOpen(func(*nbio.Conn) {})
	l.engine.OnReadBufferAlloc(func(nb *nbio.Conn) *[]byte {
		l.readingConn.Store(nb)
		return &l.readBuffer
	})
	l.engine.OnReadBufferFree(func(*nbio.Conn, *[]byte) { l.readingConn.Store(nil) })
	l.engine.OnData(func(nb *nbio.Conn, b []byte) {
		if c, ok := l.conn(nb); ok {
			c.receive(b)
		}
	})
	l.engine.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		if c, ok := l.conn(nb); ok {
			c.queued.add(-n)
			c.markSent(n)
		}
	})
	l.engine.OnClose(func(nb *nbio.Conn, err error) {
		if c, ok := l.conn(nb); ok {
			l.removeClosed(c)
			c.queued.close()
			c.handler.OnClose(err)
		}
	})
	if err := l.engine.Start(); err != nil {
		return nil, fmt.Errorf("start event loop: %w", err)
	}
	return l, nil
}

// conn returns the Conn that belongs to an nbio connection.
func (l *Loop) conn(nb *nbio.Conn) (*Conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := nb.Session().(*Conn)
	return c, ok
}

// register adds a connection to the loop, with the Handler that newHandler creates for it. It stores the
// Conn as the session of the nbio connection before AddConn, since events of the loop look the Conn up there
// from then on. The Handler may close or abort the connection before it is added. Nothing can be sent at
// that time, so register performs the shutdown or sends the FIN at the end.
func (l *Loop) register(raw net.Conn, newHandler func(*Conn) Handler) (*Conn, error) {
	l.registerMu.Lock()
	nbConn, err := nbio.NBConn(raw)
	l.registerMu.Unlock()
	if err != nil {
		raw.Close()
		return nil, fmt.Errorf("convert connection for the event loop: %w", err)
	}
	if err := nbConn.SetNoDelay(true); err != nil { // sends a response at once, without waiting for the next one
		nbConn.Close()
		return nil, fmt.Errorf("set TCP_NODELAY: %w", err)
	}
	c := &Conn{loop: l, nbConn: nbConn}
	c.handler = newHandler(c)
	l.mu.Lock()
	nbConn.SetSession(c)
	l.mu.Unlock()
	if _, err := l.engine.AddConn(nbConn); err != nil {
		l.removeClosed(c)
		return nil, fmt.Errorf("add connection to the event loop: %w", err)
	}
	c.mu.Lock()
	c.registered = true
	aborted := c.aborted()
	c.mu.Unlock()
	if aborted { // by the Handler, before the connection was registered
		c.shutdown(syscall.SHUT_RDWR)
	}
	c.sendFIN() // the Handler may have requested a close
	return c, nil
}

// Dial connects on a new goroutine and calls done there with the result.
func (l *Loop) Dial(addr string, timeout time.Duration, newHandler func(*Conn) Handler, done func(*Conn, error)) {
	go func() {
		raw, err := net.DialTimeout("tcp", addr, timeout)
		if err != nil {
			done(nil, err)
			return
		}
		done(l.register(raw, newHandler))
	}()
}

// Stop closes all connections and stops the loop. If nbio is stopped before its goroutine runs, it misses
// the stop and blocks forever. Stop therefore first serves one connection, which proves that the goroutine
// runs.
func (l *Loop) Stop() {
	served := make(closeSignalHandler, 1)
	listener, err := l.Listen("127.0.0.1:0", func(*Conn) Handler { return served }, served.OnClose)
	if err == nil {
		listener.awaitHandshakes = nil // no other client connects
		if c, err := net.Dial("tcp", listener.Addr().String()); err == nil {
			c.Close()
			<-served
		}
		listener.Close()
	}
	l.engine.Stop()
}

// closeSignalHandler is a Handler that signals the close of its connection.
type closeSignalHandler chan struct{}

func (h closeSignalHandler) OnData([]byte) {}

// OnClose sends a signal unless one is already pending.
func (h closeSignalHandler) OnClose(error) {
	select {
	case h <- struct{}{}:
	default:
	}
}
