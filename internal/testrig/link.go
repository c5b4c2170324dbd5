package testrig

import (
	"net"
	"sync"
	"time"
)

// LinkMode is the set of faults that a link applies to the bytes between a client and a target port. The
// zero value forwards all bytes without a fault.
type LinkMode struct {
	// Cut closes all connections and resets new ones.
	Cut bool
	// StallRequests stops forwarding bytes to the target port, StallResponses stops forwarding bytes from
	// it. The connections stay open.
	StallRequests  bool
	StallResponses bool
	// CutAfterBytes closes a connection once the link has forwarded this many more bytes, counted over all
	// connections and both directions. The limit ends then: the value becomes 0, which means no limit.
	CutAfterBytes int
	// ResponseGarbage is inserted once, before the next bytes from the target port.
	ResponseGarbage string
	// Delay is the time that the link waits before it forwards each chunk of bytes, in both directions.
	Delay time.Duration
	// BytesPerSecond limits the rate of each connection in each direction; 0 means no limit.
	BytesPerSecond int
	// ResetBurst is how long connections are reset at the start of each ResetInterval;
	// 0 disables these resets.
	ResetBurst    time.Duration
	ResetInterval time.Duration
}

const (
	linkDialTimeout = time.Second
	linkBufferBytes = 32 << 10
)

// Link is a TCP proxy between clients and one target port that can inject network faults.
type Link struct {
	Addr string // loopback address that clients connect to

	target   string
	started  time.Time
	listener net.Listener

	mu          sync.Mutex
	modeChanged *sync.Cond
	mode        LinkMode
	conns       map[net.Conn]bool
}

// NewLink starts a link to a target address on a free port; Close stops it.
func NewLink(target string) (*Link, error) {
	listener, err := ListenFree()
	if err != nil {
		return nil, err
	}
	return startLink(listener, target), nil
}

// NewLinkAt starts a link that listens on a given loopback address, for example that of a closed link.
func NewLinkAt(addr, target string) (*Link, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return startLink(listener, target), nil
}

func startLink(listener net.Listener, target string) *Link {
	l := &Link{
		Addr:     listener.Addr().String(),
		target:   target,
		started:  time.Now(),
		listener: listener,
		conns:    map[net.Conn]bool{},
	}
	l.modeChanged = sync.NewCond(&l.mu)
	go l.acceptAll()
	return l
}

func (l *Link) acceptAll() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

// Close stops the listener and closes all connections.
func (l *Link) Close() {
	l.listener.Close()
	l.SetMode(LinkMode{Cut: true})
}

// SetMode replaces the faults of the link. The zero mode removes all faults.
func (l *Link) SetMode(m LinkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	l.modeChanged.Broadcast()
	if m.Cut {
		for conn := range l.conns {
			conn.Close()
		}
	}
}

// isDown reports whether the link currently resets connections. The caller must hold mu.
func (l *Link) isDown() bool {
	m := l.mode
	if m.Cut {
		return true
	}
	return m.ResetBurst > 0 && m.ResetInterval > 0 && time.Since(l.started)%m.ResetInterval < m.ResetBurst
}

// serve forwards one connection to the target port.
func (l *Link) serve(clientConn net.Conn) {
	targetConn, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	l.mu.Lock()
	if err != nil || l.isDown() {
		l.mu.Unlock()
		clientConn.(*net.TCPConn).SetLinger(0) // Close sends a reset
		clientConn.Close()
		if err == nil {
			targetConn.Close()
		}
		return
	}
	l.conns[clientConn] = true
	l.conns[targetConn] = true
	l.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { l.copyBytes(targetConn, clientConn, false) })
	directions.Go(func() { l.copyBytes(clientConn, targetConn, true) })
	directions.Wait()
	l.mu.Lock()
	delete(l.conns, clientConn)
	delete(l.conns, targetConn)
	l.mu.Unlock()
}

// stalls reports whether the bytes of one direction are stalled.
func (m LinkMode) stalls(responses bool) bool {
	if responses {
		return m.StallResponses
	}
	return m.StallRequests
}

// copyBytes forwards the bytes of one direction until a connection is closed or a fault ends it.
func (l *Link) copyBytes(to, from net.Conn, responses bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		for l.mode.stalls(responses) && !l.mode.Cut {
			l.modeChanged.Wait()
		}
		mode := l.mode
		down := l.isDown()
		forwarded, cut := l.countBytes(n)
		garbage := ""
		if responses && n > 0 {
			garbage = mode.ResponseGarbage
			l.mode.ResponseGarbage = ""
		}
		l.mu.Unlock()
		if down || err != nil {
			return
		}
		delay := mode.Delay
		if mode.BytesPerSecond > 0 {
			delay += time.Duration(n) * time.Second / time.Duration(mode.BytesPerSecond)
		}
		time.Sleep(delay)
		if _, err := to.Write(append([]byte(garbage), buffer[:forwarded]...)); err != nil || cut {
			return
		}
	}
}

// countBytes returns how many of n bytes to forward under CutAfterBytes, and whether to close the
// connection after them. The caller must hold mu.
func (l *Link) countBytes(n int) (forwarded int, cut bool) {
	if l.mode.CutAfterBytes == 0 {
		return n, false
	}
	if n < l.mode.CutAfterBytes {
		l.mode.CutAfterBytes -= n
		return n, false
	}
	forwarded = l.mode.CutAfterBytes
	l.mode.CutAfterBytes = 0
	return forwarded, true
}
