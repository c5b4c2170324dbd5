// Package socket is the event loop under all connections: nbio, with one
// handler for each connection and closing after what was written has left.
package socket

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

const (
	readBuffer = 16 << 10
	writeMost  = 1 << 20 // unsent bytes of one connection, past which it is closed
)

// Handler gets what happens on one connection. Data and Closed are called from
// the loop's goroutines and must not block; after Closed come no more calls
// that matter.
type Handler interface {
	Data(b []byte)
	Closed(err error)
}

// Conn is a connection of the loop.
type Conn struct {
	nb      *nbio.Conn
	handler Handler
	mu      sync.Mutex
	pending int // bytes that wait to leave
	closing bool
}

// Write sends b, or queues it without blocking. A connection that can't take it
// is closed.
func (c *Conn) Write(b []byte) {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return
	}
	c.pending += len(b)
	c.mu.Unlock()
	c.nb.Write(b) // an error closes the connection, which Closed tells
}

// Pending is how many bytes wait to leave.
func (c *Conn) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// Close closes the connection once all that was written has left it.
func (c *Conn) Close() {
	c.mu.Lock()
	c.closing = true
	now := c.pending <= 0
	c.mu.Unlock()
	if now {
		c.nb.Close()
	}
}

// Abandon closes the connection at once.
func (c *Conn) Abandon() { c.nb.Close() }

func (c *Conn) written(n int) {
	c.mu.Lock()
	c.pending -= n
	now := c.closing && c.pending <= 0
	c.mu.Unlock()
	if now {
		go c.nb.Close() // called under nbio's lock of the connection
	}
}

// Loop is the event loop.
type Loop struct {
	engine *nbio.Engine
	mu     sync.Mutex // orders the making of a Conn before its first use
}

func (l *Loop) conn(nb *nbio.Conn) (*Conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := nb.Session().(*Conn)
	return c, ok
}

// New starts a loop.
func New() (*Loop, error) {
	logging.SetLevel(logging.LevelNone)
	e := nbio.NewEngine(nbio.Config{Name: "loop", NPoller: 1, ReadBufferSize: readBuffer, MaxWriteBufferSize: writeMost})
	l := &Loop{engine: e}
	e.OnOpen(func(*nbio.Conn) {})
	e.OnData(func(nb *nbio.Conn, b []byte) {
		if c, ok := l.conn(nb); ok {
			c.handler.Data(b)
		}
	})
	e.OnClose(func(nb *nbio.Conn, err error) {
		if c, ok := l.conn(nb); ok {
			c.handler.Closed(err)
		}
	})
	e.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		if c, ok := l.conn(nb); ok {
			c.written(n)
		}
	})
	if err := e.Start(); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	return l, nil
}

func (l *Loop) add(raw net.Conn, handle func(*Conn) Handler) (*Conn, error) {
	nb, err := nbio.NBConn(raw)
	if err != nil {
		raw.Close()
		return nil, fmt.Errorf("hand over connection: %w", err)
	}
	c := &Conn{nb: nb}
	c.handler = handle(c)
	l.mu.Lock()
	nb.SetSession(c)
	l.mu.Unlock()
	if _, err := l.engine.AddConn(nb); err != nil {
		return nil, fmt.Errorf("add connection: %w", err)
	}
	return c, nil
}

// Listener takes connections until it is closed.
type Listener struct {
	net.Listener
	take func(net.Conn)
}

// Close takes what the system has accepted by now, and no more. Connections that
// were left in the system's queue would be reset under the requests on them.
func (l *Listener) Close() error {
	if tcp, ok := l.Listener.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { takeQueued(int(fd), l.take) })
		}
	}
	return l.Listener.Close()
}

func takeQueued(listener int, take func(net.Conn)) {
	for {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if err != nil {
			return // the queue is empty
		}
		f := os.NewFile(uintptr(fd), "accepted")
		c, err := net.FileConn(f)
		f.Close()
		if err == nil {
			take(c)
		}
	}
}

// Listen accepts connections on the address until the listener is closed.
func (l *Loop) Listen(addr string, handle func(*Conn) Handler, failed func(error)) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	take := func(raw net.Conn) {
		if _, err := l.add(raw, handle); err != nil {
			failed(err)
		}
	}
	go func() {
		for {
			raw, err := ln.Accept()
			switch {
			case err == nil:
				take(raw)
			case errors.Is(err, net.ErrClosed):
				return
			default: // out of descriptors, mostly: don't spin on it
				failed(err)
				time.Sleep(20 * time.Millisecond)
			}
		}
	}()
	return &Listener{Listener: ln, take: take}, nil
}

// Dial connects in the background and reports to done.
func (l *Loop) Dial(addr string, timeout time.Duration, handle func(*Conn) Handler, done func(*Conn, error)) {
	go func() {
		raw, err := net.DialTimeout("tcp", addr, timeout)
		if err != nil {
			done(nil, err)
			return
		}
		done(l.add(raw, handle))
	}()
}

// Stop closes all connections.
func (l *Loop) Stop() { l.engine.Stop() }
