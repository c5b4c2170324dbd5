package frontend

import (
	"net"
	"sync"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/fdquota"
	"oxbowbridge/internal/transport/eventloop"
)

// Config is what a Server works with.
type Config struct {
	Exchange *exchange.Exchange // receives requests, and notices of callers that are gone
	Classes  map[string]Class   // of the settings, by the name that the path of a request has
	Log      *zap.Logger
	Protocol string // field of log messages on malformed input
}

// Server is the listener of one protocol, and its connections.
type Server struct {
	Config

	mu              sync.Mutex // taken before the lock of a Conn
	conns           map[*Conn]struct{}
	listener        net.Listener
	maxConns        int
	pool            *fdquota.ConnPool // of descriptors, shared with calls and other frontends
	drainingBacklog bool              // the listener still accepts connections that were made before it was closed
}

// NewServer returns a Server that does not listen yet.
func NewServer(c Config) *Server { return &Server{Config: c} }

// Listen opens the listener; accept makes the Conn of each new connection. Connections beyond
// maxConns, or beyond what the pool has, evict others, which leaves descriptors for the sessions
// with upstream services. Where none can be evicted the new one is closed: nothing runs, and a
// request that is on its way is sent again elsewhere.
func (s *Server) Listen(loop *eventloop.Loop, addr string, maxConns int, pool *fdquota.ConnPool, accept func(*eventloop.Conn) *Conn) error {
	s.conns = map[*Conn]struct{}{}
	s.maxConns = maxConns
	s.pool = pool
	listener, err := loop.Listen(addr, func(raw *eventloop.Conn) eventloop.Handler {
		c := accept(raw)
		if !s.add(c) {
			s.Log.Warn("connection not accepted", zap.Int("max_connections", maxConns))
			c.CloseGracefully()
		}
		return c
	}, func(err error) { s.Log.Warn("connection not accepted", zap.Error(err)) })
	if err != nil {
		return err
	}
	s.listener = listener
	return nil
}

// add counts a connection, evicting another one if need be, and reports whether it fits.
func (s *Server) add(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := len(s.conns) >= s.maxConns || !s.pool.HasCallerCapacity()
	if full && !s.evictOne() {
		return false
	}
	s.conns[c] = struct{}{}
	s.pool.AddCallers(1)
	return true
}

// remove forgets a connection that is closed.
func (s *Server) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.untrack(c)
}

// untrack stops counting a connection. The lock is held.
func (s *Server) untrack(c *Conn) {
	if _, ok := s.conns[c]; ok {
		delete(s.conns, c)
		s.pool.AddCallers(-1)
	}
}

// Addr is the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// StopListening accepts the connections that have been made by now, and no others. It does not
// wait for that: until it is done CloseIdle counts the listener as remaining.
func (s *Server) StopListening() {
	s.mu.Lock()
	s.drainingBacklog = true
	s.mu.Unlock()
	go func() {
		if err := s.listener.Close(); err != nil {
			s.Log.Warn("listener not closed in order", zap.Error(err))
		}
		s.mu.Lock()
		s.drainingBacklog = false
		s.mu.Unlock()
	}()
}

// DrainConnections drains all connections.
func (s *Server) DrainConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Drain()
	}
}
