package frontend

import (
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/fdquota"
	"oxbowbridge/internal/transport/eventloop"
)

// Config contains the dependencies and settings of a Server.
type Config struct {
	Exchange *exchange.Exchange // receives requests and reports of aborted requests
	Classes  map[string]Class   // by class name, as in the path of a request
	Log      *zap.Logger
	Protocol string // protocol name in log messages about malformed input
}

// Server is the listener of one protocol and its connections.
type Server struct {
	Config
	maxReceiveTime time.Duration // see maxReceiveTime
	quotas         MemoryQuotas  // see LimitMemory

	mu              sync.Mutex // taken before the lock of a Conn
	conns           map[*Conn]struct{}
	listener        net.Listener
	maxConns        int
	pool            *fdquota.ConnPool // limits file descriptors; shared with calls and other frontends
	drainingBacklog bool              // the listener still accepts connections that were in its backlog when it was closed
}

// NewServer returns a Server. Listen opens its listener.
func NewServer(c Config) *Server {
	return &Server{Config: c, maxReceiveTime: maxReceiveTime(c.Classes), quotas: unlimited()}
}

// Listen opens the listener and calls accept to create the Conn of each new connection. A connection
// beyond maxConns, or beyond the capacity of the pool, evicts another one, which leaves descriptors for
// the sessions with outside services. If none can be evicted, the new connection is closed. That is
// safe: nothing on it has run, so the balancer can retry a request elsewhere.
func (s *Server) Listen(loop *eventloop.Loop, addr string, maxConns int, pool *fdquota.ConnPool, accept func(*eventloop.Conn) *Conn) error {
	s.conns = map[*Conn]struct{}{}
	s.maxConns = maxConns
	s.pool = pool
	listener, err := loop.Listen(addr, func(raw *eventloop.Conn) eventloop.Handler {
		raw.LimitQueue(s.quotas.Output, s.logUnread)
		c := accept(raw)
		if !s.add(c) {
			s.Log.Warn("connection rejected: connection limit reached", zap.Int("max_connections", maxConns))
			c.CloseGracefully()
		}
		return c
	}, func(err error) { s.Log.Warn("accepting a connection failed", zap.Error(err)) })
	if err != nil {
		return err
	}
	s.listener = listener
	return nil
}

// add tracks a new connection and evicts another one if the limit is reached. It reports false if none
// could be evicted.
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

// remove untracks a closed connection.
func (s *Server) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.untrack(c)
}

// untrack removes a connection from the Server and the pool's count. The lock must be held.
func (s *Server) untrack(c *Conn) {
	if _, ok := s.conns[c]; ok {
		delete(s.conns, c)
		s.pool.AddCallers(-1)
	}
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// StopListening closes the listener after accepting the connections in its backlog. It returns at once.
// Until the listener is closed, CloseIdle counts it as a remaining connection.
func (s *Server) StopListening() {
	s.mu.Lock()
	s.drainingBacklog = true
	s.mu.Unlock()
	go func() {
		if err := s.listener.Close(); err != nil {
			s.Log.Warn("closing the listener failed", zap.Error(err))
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
