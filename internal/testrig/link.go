package testrig

import (
	"net"
	"sync"
	"time"
)

// LinkMode is what a link does with the bytes between a caller and a port. The zero
// mode passes them on.
type LinkMode struct {
	// Cut resets connections, and refuses new ones.
	Cut bool
	// StallRequests and StallResponses stall the bytes to and from the port; connections
	// stay half open.
	StallRequests  bool
	StallResponses bool
	// CutAfterBytes ends the connections behind so many more bytes, counted both ways, and
	// heals the link then; 0 is never.
	CutAfterBytes int
	// ResponseGarbage is passed on once, in front of the next bytes from the port.
	ResponseGarbage string
	// Delay is added to each read, each way.
	Delay time.Duration
	// BytesPerSecond bounds the rate, each way; 0 is no bound.
	BytesPerSecond int
	// ResetBurst is how long connections are reset at the begin of each ResetInterval;
	// 0 is never.
	ResetBurst    time.Duration
	ResetInterval time.Duration
}

const (
	linkDialTimeout = time.Second
	linkBufferBytes = 32 << 10
)

// Link is a TCP proxy between one caller and one port.
type Link struct {
	Addr string // loopback address that the caller connects to

	target   string
	started  time.Time
	listener net.Listener

	mu          sync.Mutex
	modeChanged *sync.Cond
	mode        LinkMode
	conns       map[net.Conn]bool
}

// NewLink starts a link to an address; Close ends it.
func NewLink(target string) (*Link, error) {
	listener, err := ListenFree()
	if err != nil {
		return nil, err
	}
	return startLink(listener, target), nil
}

// NewLinkAt starts a link at a loopback address, as that of one that was closed.
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

// Close cuts the link for good.
func (l *Link) Close() {
	l.listener.Close()
	l.SetMode(LinkMode{Cut: true})
}

// SetMode changes what the link does; the zero mode heals it.
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

// isDown reports whether connections are reset now. The lock is held.
func (l *Link) isDown() bool {
	m := l.mode
	if m.Cut {
		return true
	}
	return m.ResetBurst > 0 && m.ResetInterval > 0 && time.Since(l.started)%m.ResetInterval < m.ResetBurst
}

// serve passes on what goes over one connection.
func (l *Link) serve(caller net.Conn) {
	port, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	l.mu.Lock()
	if err != nil || l.isDown() {
		l.mu.Unlock()
		caller.(*net.TCPConn).SetLinger(0) // closes with a reset
		caller.Close()
		if err == nil {
			port.Close()
		}
		return
	}
	l.conns[caller] = true
	l.conns[port] = true
	l.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { l.copyBytes(port, caller, false) })
	directions.Go(func() { l.copyBytes(caller, port, true) })
	directions.Wait()
	l.mu.Lock()
	delete(l.conns, caller)
	delete(l.conns, port)
	l.mu.Unlock()
}

// holds tells whether the bytes of one direction are stalled.
func (m LinkMode) holds(responses bool) bool {
	if responses {
		return m.StallResponses
	}
	return m.StallRequests
}

// copyBytes passes on one direction until either end closes.
func (l *Link) copyBytes(to, from net.Conn, responses bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		for l.mode.holds(responses) && !l.mode.Cut {
			l.modeChanged.Wait()
		}
		mode := l.mode
		down := l.isDown()
		passed, cut := l.countBytes(n)
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
		if _, err := to.Write(append([]byte(garbage), buffer[:passed]...)); err != nil || cut {
			return
		}
	}
}

// countBytes returns how many of n bytes pass before the connections end by CutAfterBytes, and
// whether they end behind these. The lock is held.
func (l *Link) countBytes(n int) (passed int, cut bool) {
	if l.mode.CutAfterBytes == 0 {
		return n, false
	}
	if n < l.mode.CutAfterBytes {
		l.mode.CutAfterBytes -= n
		return n, false
	}
	passed = l.mode.CutAfterBytes
	l.mode.CutAfterBytes = 0
	return passed, true
}
