package testrig

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Mode is what a link does to what one process says to another.
type LinkMode struct {
	Cut                         bool          // connections are reset, and refused
	HoldRequests, HoldResponses bool          // bytes that way are held, the connections stay half open
	Delay                       time.Duration // each way
	BytesPerSecond              int           // bytes a second, each way; 0 is without a bound
	ResetBurst                  time.Duration // connections are reset in bursts: for so long in each Every
	ResetInterval               time.Duration
}

// Link is the way on which one process calls another one's port.
type Link struct {
	Addr string // where the caller has to call

	to    string
	began time.Time
	ln    net.Listener
	mu    sync.Mutex
	moved *sync.Cond
	mode  LinkMode
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
	l.SetMode(LinkMode{Cut: true})
}

// Set changes what it does; the zero Mode heals it.
func (l *Link) SetMode(m LinkMode) {
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
	return m.Cut || m.ResetBurst > 0 && m.ResetInterval > 0 && time.Since(l.began)%m.ResetInterval < m.ResetBurst
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
	both.Go(func() { l.pump(to, from, func(m LinkMode) bool { return m.HoldRequests }) })
	both.Go(func() { l.pump(from, to, func(m LinkMode) bool { return m.HoldResponses }) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, from)
	delete(l.conns, to)
	l.mu.Unlock()
}

// pump carries one direction until either end closes.
func (l *Link) pump(to, from net.Conn, held func(LinkMode) bool) {
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
		if m.BytesPerSecond > 0 {
			m.Delay += time.Duration(n) * time.Second / time.Duration(m.BytesPerSecond)
		}
		time.Sleep(m.Delay)
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// Fault is something that is done to one node, and undone.
type Fault struct {
	Name            string
	IsolatesLeader  bool // the leader is lost to the others by it
	Inject, Recover func(node int)
}

// Turn is one fault of a schedule.
type ScheduledFault struct {
	Fault       Fault
	QuietBefore time.Duration // of quiet
	Duration    time.Duration
	Node        int // a number drawn for faults that choose a node
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
func (s *Schedule) Next() ScheduledFault {
	if len(s.order) == 0 {
		s.order = s.rng.Perm(len(s.faults))
	}
	f := s.faults[s.order[0]]
	s.order = s.order[1:]
	drawn := func(d time.Duration) time.Duration { return d + time.Duration(s.rng.Int64N(int64(d))) }
	return ScheduledFault{Fault: f, QuietBefore: drawn(s.least / 5), Duration: drawn(s.least), Node: s.rng.IntN(s.nodes)}
}
