package main

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is a proxy of the rig's own on a loopback port. While it is armed, the first connection that sends a
// marker is reset as soon as the other side has begun to answer, so that the answer is lost.
type link struct {
	address string
	target  string
	rig     *rig
	marker  []byte
	armed   *atomic.Bool // shared by several links; cleared by the first reset
}

func (r *rig) newLink(target string, marker string, armed *atomic.Bool) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err, "link")
	l := &link{address: listener.Addr().String(), target: target, rig: r, marker: []byte(marker), armed: armed}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(from.(*net.TCPConn))
		}
	}()
	return l
}

func (l *link) serve(from *net.TCPConn) {
	conn, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		from.Close()
		return
	}
	to := conn.(*net.TCPConn)
	var marked atomic.Bool
	var done sync.WaitGroup
	done.Go(func() { // requests
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			if bytes.Contains(buffer[:n], l.marker) && l.armed.Load() {
				marked.Store(true)
			}
			if n > 0 {
				to.Write(buffer[:n])
			}
			if err != nil {
				to.CloseWrite()
				return
			}
		}
	})
	done.Go(func() { // answers
		buffer := make([]byte, 64<<10)
		for {
			n, err := to.Read(buffer)
			if n > 0 && marked.Load() && l.armed.CompareAndSwap(true, false) {
				l.rig.note("the link resets the connection as the answer comes: %.60q", buffer[:n])
				from.SetLinger(0)
				from.Close()
				to.Close()
				return
			}
			if n > 0 {
				from.Write(buffer[:n])
			}
			if err != nil {
				from.CloseWrite()
				return
			}
		}
	})
	done.Wait()
	from.Close()
	to.Close()
}
