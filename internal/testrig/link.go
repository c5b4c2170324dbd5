package testrig

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Mode is what a link does to what one process says to another.
type Mode struct {
	Cut       bool          // connections are reset, and refused
	Out, Back bool          // bytes that way are held, the connections stay half open
	Delay     time.Duration // each way
	Rate      int           // bytes a second, each way; 0 is without a bound
	Burst     time.Duration // connections are reset in bursts: for so long in each Every
	Every     time.Duration
}

// Link is the way on which one process calls another one's port.
type Link struct {
	Addr string // where the caller has to call

	to    string
	began time.Time
	ln    net.Listener
	mu    sync.Mutex
	moved *sync.Cond
	mode  Mode
	conns map[net.Conn]bool
}

// NewLink begins a link to an address; Close ends it.
func NewLink(to string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{Addr: ln.Addr().String(), to: to, ln: ln, began: time.Now(), conns: map[net.Conn]bool{}}
	l.moved = sync.NewCond(&l.mu)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l, nil
}

// Close cuts the link for good.
func (l *Link) Close() {
	l.ln.Close()
	l.Set(Mode{Cut: true})
}

// Set changes what it does; the zero Mode heals it.
func (l *Link) Set(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	l.moved.Broadcast()
	if m.Cut {
		for c := range l.conns {
			c.Close()
		}
	}
}

// down tells whether connections are reset now. The lock is held.
func (l *Link) down() bool {
	m := l.mode
	return m.Cut || m.Burst > 0 && m.Every > 0 && time.Since(l.began)%m.Every < m.Burst
}

func (l *Link) serve(from net.Conn) {
	to, err := net.DialTimeout("tcp", l.to, time.Second)
	l.mu.Lock()
	if err != nil || l.down() {
		l.mu.Unlock()
		from.(*net.TCPConn).SetLinger(0)
		from.Close()
		if err == nil {
			to.Close()
		}
		return
	}
	l.conns[from], l.conns[to] = true, true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pump(to, from, func(m Mode) bool { return m.Out }) })
	both.Go(func() { l.pump(from, to, func(m Mode) bool { return m.Back }) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, from)
	delete(l.conns, to)
	l.mu.Unlock()
}

// pump carries one direction until either end closes.
func (l *Link) pump(to, from net.Conn, held func(Mode) bool) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		l.mu.Lock()
		for held(l.mode) && !l.mode.Cut {
			l.moved.Wait()
		}
		m, down := l.mode, l.down()
		l.mu.Unlock()
		if down || err != nil {
			return
		}
		if m.Rate > 0 {
			m.Delay += time.Duration(n) * time.Second / time.Duration(m.Rate)
		}
		time.Sleep(m.Delay)
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// Fault is something that is done to one node, and undone.
type Fault struct {
	Name     string
	Leader   bool // the leader is lost to the others by it
	Do, Undo func(node int)
}

// Turn is one fault of a schedule.
type Turn struct {
	Fault  Fault
	Before time.Duration // of quiet
	For    time.Duration
	Node   int // a number drawn for faults that choose a node
}

// Schedule gives the turns of a seed, without end: all faults in an order that is drawn
// anew each time round. The same seed gives the same turns.
type Schedule struct {
	Seed   uint64
	rng    *rand.Rand
	faults []Fault
	order  []int
	least  time.Duration
	nodes  int
}

// NewSchedule makes one for faults of at least a length on so many nodes.
func NewSchedule(seed uint64, nodes int, least time.Duration, faults ...Fault) *Schedule {
	return &Schedule{Seed: seed, rng: rand.New(rand.NewPCG(seed, 11)), faults: faults, least: least, nodes: nodes}
}

// Next is the next turn.
func (s *Schedule) Next() Turn {
	if len(s.order) == 0 {
		s.order = s.rng.Perm(len(s.faults))
	}
	f := s.faults[s.order[0]]
	s.order = s.order[1:]
	drawn := func(d time.Duration) time.Duration { return d + time.Duration(s.rng.Int64N(int64(d))) }
	return Turn{Fault: f, Before: drawn(s.least / 5), For: drawn(s.least), Node: s.rng.IntN(s.nodes)}
}
