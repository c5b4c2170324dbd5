package ajp

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/slowstart"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/session"
)

const (
	pongTimeout  = time.Second
	upIdleMost   = 10 * time.Second // an unused connection is kept so long
	probeEvery   = 500 * time.Millisecond
	upResultMost = 64 << 10
	sendsMost    = 2                     // of a run that may be sent again
	rampAgain    = 20 * time.Millisecond // after which runs that wait for a cold server look again
)

var (
	errLost = errors.New("upstream lost")
	errSize = fmt.Errorf("result of more than %d bytes", upResultMost)
)

// UpstreamPool is the exchange.Runner that has AJP servers do the work, one run at
// a time on a connection. All of it runs in the core's goroutine, but for the
// parsing of what arrives.
type UpstreamPool struct {
	session.Dependencies
	addrs  []string
	secret string
	gauges []string // names, in the order in which they are reported
	cores  int
	next   int // address that the next new connection goes to
	free   []*upConn
	runs   map[string]*upRun
	ready  bool

	servers map[string]*upServer // by address
	limits  slowstart.Config     // of a server that has just started
	seed    uint64
	waiting []*upRun // for a slot at a server that is warming up, oldest first
	looking bool     // a look at those that wait is due
}

// upServer is what is known of the server at one address.
type upServer struct {
	addr    string
	conns   int                  // that are made or being made
	running int                  // runs on them
	away    bool                 // it refused the latest connection
	ramp    *slowstart.SlowStart // since its start was learned of, nil once it is warm
}

// upRun is a run that has not ended.
type upRun struct {
	exchange.Attempt
	began  time.Duration
	sends  int // times that it may have run
	refuse int // addresses tried in vain for it
	conn   *upConn
}

// upConn is a connection to an upstream.
type upConn struct {
	up     *UpstreamPool
	addr   string
	server *upServer
	sock   *eventloop.Conn
	parser parser
	bad    bool

	run    *upRun // nil while it is free
	asked  bool   // CPING is out
	sent   bool   // the request is: it may run
	used   bool   // a run was sent on it
	body   []byte // of the request, still to be sent
	status int
	result []byte
	timer  *timerqueue.Timer
	closed bool
}

// NewUpstreamPool returns a runner that isn't connected. The limits hold for each of the
// servers; seed differs between processes.
func NewUpstreamPool(addrs []string, secret string, gauges []string, limits slowstart.Config, seed uint64, env session.Dependencies) *UpstreamPool {
	return &UpstreamPool{Dependencies: env, addrs: addrs, secret: secret, cores: limits.Cores, gauges: gauges, runs: map[string]*upRun{},
		servers: map[string]*upServer{}, limits: limits, seed: seed}
}

// Open looks for an upstream until one answers; then the service is ready.
func (u *UpstreamPool) Open() {
	if u.ready {
		return
	}
	u.connect(u.nextAddr(), nil)
	u.Timers.Schedule(u.Now()+probeEvery, u.Open)
}

// SetAddresses has new runs go to other addresses. Those that are out stay where they are. A server
// that was not listed before is taken for one that has just started.
func (u *UpstreamPool) SetAddresses(addrs []string, secret string) {
	for _, addr := range addrs {
		if !slices.Contains(u.addrs, addr) {
			u.started(u.server(addr))
		}
	}
	u.addrs, u.secret = addrs, secret
	maps.DeleteFunc(u.servers, func(addr string, _ *upServer) bool { return !slices.Contains(addrs, addr) })
	for _, c := range slices.Clone(u.free) {
		if !slices.Contains(addrs, c.addr) {
			c.lost(nil)
		}
	}
}

func (u *UpstreamPool) server(addr string) *upServer {
	s := u.servers[addr]
	if s == nil {
		s = &upServer{addr: addr}
		u.servers[addr] = s
	}
	return s
}

// started notes that a server has just started, by all that this process can know.
func (u *UpstreamPool) started(s *upServer) {
	s.ramp = slowstart.New(u.limits, u.seed, u.Now())
	u.Log.Info("upstream started, its load grows with it", zap.String("address", s.addr))
}

// hasSlot tells whether a server may get one more run of this process.
func (u *UpstreamPool) hasSlot(s *upServer) bool {
	if s.ramp != nil && s.ramp.Warm(u.Now()) {
		s.ramp = nil
	}
	return s.ramp == nil || s.running < s.ramp.Quota(u.Now())
}

// Run has a run done.
func (u *UpstreamPool) Run(a exchange.Attempt) {
	r := &upRun{Attempt: a, began: u.Now()}
	u.runs[a.TraceID] = r
	u.place(r)
}

// place gives a run a connection, or has it wait until a server may get it.
func (u *UpstreamPool) place(r *upRun) {
	for i := len(u.free) - 1; i >= 0; i-- {
		c := u.free[i]
		if !u.hasSlot(c.server) {
			continue
		}
		u.free = slices.Delete(u.free, i, i+1)
		c.take(r)
		c.ask() // guards against a connection that was closed while it was free
		return
	}
	// One that is away is tried where none is left: its refusal ends a run that finds no other.
	for _, away := range []bool{false, true} {
		for range u.addrs {
			if s := u.server(u.nextAddr()); s.away == away && u.hasSlot(s) {
				u.connect(s.addr, r)
				return
			}
		}
	}
	u.waiting = append(u.waiting, r)
	u.lookAgain()
}

// lookAgain places what waits, after a while.
func (u *UpstreamPool) lookAgain() {
	if u.looking {
		return
	}
	u.looking = true
	u.Timers.Schedule(u.Now()+rampAgain, func() {
		u.looking = false
		waiting := u.waiting
		u.waiting = nil
		for _, r := range waiting {
			u.place(r)
		}
	})
}

// nextAddr is the address whose turn it is.
func (u *UpstreamPool) nextAddr() string {
	u.next++
	return u.addrs[(u.next-1)%len(u.addrs)]
}

// connect connects to an address for a run, or to see whether a server is there.
func (u *UpstreamPool) connect(addr string, r *upRun) {
	c := &upConn{up: u, addr: addr, server: u.server(addr), parser: parser{magic: toWeb}}
	c.server.conns++
	if r != nil {
		c.take(r)
	}
	u.Dial(addr, c, func(sock *eventloop.Conn, err error) { c.opened(addr, sock, err) })
}

// take has the connection carry a run.
func (c *upConn) take(r *upRun) {
	c.run, r.conn = r, c
	c.server.running++
}

// leave ends that, and returns the run; nil if there was none.
func (c *upConn) leave() *upRun {
	r := c.run
	if r != nil {
		c.run, r.conn = nil, nil
		c.server.running--
	}
	return r
}

// reached notes whether a server took a connection.
func (u *UpstreamPool) reached(s *upServer, err error) {
	switch {
	case err == nil && s.away:
		s.away = false
		u.started(s)
	case errors.Is(err, syscall.ECONNREFUSED) && !s.away:
		s.away = true
		u.Timers.Schedule(u.Now()+probeEvery, func() { u.probe(s) })
	}
}

// probe looks for a server that is away until it is back, or is not listed any more.
func (u *UpstreamPool) probe(s *upServer) {
	if !s.away || !slices.Contains(u.addrs, s.addr) {
		return
	}
	u.connect(s.addr, nil)
	u.Timers.Schedule(u.Now()+probeEvery, func() { u.probe(s) })
}

func (c *upConn) opened(addr string, sock *eventloop.Conn, err error) {
	c.sock = sock
	c.up.reached(c.server, err)
	switch {
	case err != nil && c.closed:
	case err != nil:
		c.up.Log.Warn("upstream not reached", zap.String("address", addr), zap.Error(err))
		c.lost(err)
	case c.closed: // stopped meanwhile
		c.sock.Abort()
	case c.run != nil:
		c.send()
	default:
		c.ask()
	}
}

// ask makes sure that the upstream is there before anything is sent.
func (c *upConn) ask() {
	c.up.Timers.Cancel(c.timer)
	c.asked = true
	c.sock.Write(packet(toServer, []byte{codeCPing}))
	c.timer = c.up.Timers.Schedule(c.up.Now()+pongTimeout, func() { c.lost(errLost) })
}

func (c *upConn) send() {
	r := c.run
	c.sent, c.used, c.body = true, true, r.Body
	r.sends++
	headers := [][2]string{{"trace-id", r.TraceID}, {"content-length", strconv.Itoa(len(r.Body))}}
	c.sock.Write(appendForward("/call/"+r.Class, c.up.secret, headers))
	if len(r.Body) > 0 {
		c.piece(chunkMost)
	}
}

// piece sends the next piece of the body, an empty one at its end.
func (c *upConn) piece(most int) {
	n := min(len(c.body), most, chunkMost)
	c.sock.Write(chunk(c.body[:n]))
	c.body = c.body[n:]
}

// Halt stops a run by closing its connection.
func (u *UpstreamPool) Stop(trace string, _ bool) {
	r := u.runs[trace]
	if r == nil {
		return
	}
	if c := r.conn; c != nil {
		c.leave()
		c.lost(nil)
	} else {
		u.waiting = slices.DeleteFunc(u.waiting, func(w *upRun) bool { return w == r })
	}
	u.end(r, exchange.ResultStopped, nil)
}

// Resume does nothing: what was stopped is gone.
func (u *UpstreamPool) Resume(string) {}

// Drop does nothing, for the same reason.
func (u *UpstreamPool) Discard(string) {}

// Feed does nothing: an upstream makes its calls itself.
func (u *UpstreamPool) DeliverReply(string, []byte) {}

// AskGauges reports what can be told from outside: each run holds a core.
func (u *UpstreamPool) RequestGauges() {
	busy := float64(len(u.runs))
	values := map[string]float64{"core_use": min(1, busy/float64(u.cores)), "on_cores": busy}
	var g exchange.Gauges
	for _, name := range u.gauges {
		v, ok := values[name]
		if !ok {
			v = -1
		}
		g = append(g, v)
	}
	u.Exchange.Post(g)
}

func (u *UpstreamPool) end(r *upRun, end exchange.Result, result []byte) {
	delete(u.runs, r.TraceID)
	u.Exchange.Post(exchange.Outcome{TraceID: r.TraceID, Stage: exchange.RunEnded, Result: end, Duration: u.Now() - r.began, Body: result})
}

// lost ends a connection, and what ran on it unless it may be tried once more.
func (c *upConn) lost(err error) {
	if c.closed {
		return
	}
	c.closed = true
	u := c.up
	u.Timers.Cancel(c.timer)
	for i, f := range u.free {
		if f == c {
			u.free = append(u.free[:i], u.free[i+1:]...)
			break
		}
	}
	if c.sock != nil {
		c.sock.Abort()
	}
	c.server.conns--
	if err != nil && c.used && c.server.conns == 0 && !c.server.away && slices.Contains(u.addrs, c.addr) {
		u.connect(c.addr, nil) // it may have ended: its next start is to be seen
	}
	r := c.leave()
	if r == nil {
		return
	}
	if !c.sent && !c.asked {
		r.refuse++ // a new connection failed: proof that nothing ran, any run may go elsewhere
	}
	// Guards nom-submit against a second run: what was sent may have run.
	again := !c.sent && r.refuse <= len(u.addrs) || c.sent && r.Idempotent && r.sends < sendsMost
	if again {
		u.place(r)
		return
	}
	u.Log.Warn("run failed", zap.String("trace", r.TraceID), zap.Error(err))
	u.end(r, exchange.ResultError, nil)
}

// OnData parses what came and hands it to the core's goroutine.
func (c *upConn) OnData(b []byte) {
	if c.bad {
		return
	}
	err := c.parser.feed(b, func(content []byte) error {
		own := append([]byte(nil), content...)
		c.up.Exchange.Post(exchange.Callback(func() {
			if err := c.packet(own); err != nil && !c.closed {
				c.up.Log.Warn("malformed AJP of an upstream", zap.Error(err))
				c.lost(err)
			}
		}))
		return nil
	})
	if err != nil {
		c.bad = true
		c.OnClose(err)
	}
}

// OnClose is called when the connection is lost.
func (c *upConn) OnClose(err error) {
	c.up.Exchange.Post(exchange.Callback(func() { c.lost(errors.Join(errLost, err)) }))
}

func (c *upConn) packet(content []byte) error {
	if c.closed {
		return nil
	}
	if len(content) == 0 {
		return errShort
	}
	r := reader{b: content[1:]}
	switch code := content[0]; {
	case code == codeCPong && c.asked:
		c.pong()
	case !c.sent || c.run == nil:
		return fmt.Errorf("packet of code %d where none is due", code)
	case code == codeHeaders:
		c.status = int(r.uint())
	case code == codeBodyChunk:
		c.result = append(c.result, r.take(int(r.uint()))...)
		if len(c.result) > upResultMost {
			return errSize
		}
	case code == codeGetBody:
		c.piece(int(r.uint()))
	case code == codeEnd:
		c.finished(r.byte() == 1 && r.err == nil)
	default:
		return fmt.Errorf("packet of code %d", code)
	}
	return r.err
}

func (c *upConn) pong() {
	c.asked = false
	c.up.Timers.Cancel(c.timer)
	if !c.up.ready {
		c.up.ready = true
		c.up.Log.Info("upstream up")
		c.up.Exchange.Post(exchange.RunnerReady{})
	}
	if c.run != nil {
		c.send()
	} else {
		c.rest()
	}
}

// rest keeps the connection for the next run.
func (c *upConn) rest() {
	c.up.free = append(c.up.free, c)
	c.timer = c.up.Timers.Schedule(c.up.Now()+upIdleMost, func() { c.lost(nil) })
}

func (c *upConn) finished(reuse bool) {
	r, status, result := c.leave(), c.status, c.result
	c.sent, c.body, c.status, c.result = false, nil, 0, nil
	end := exchange.ResultOK
	if status != 200 {
		end = exchange.ResultError
		c.up.Log.Warn("upstream failed a run", zap.String("trace", r.TraceID), zap.Int("status", status))
	}
	c.up.end(r, end, result)
	if reuse && slices.Contains(c.up.addrs, c.addr) {
		c.rest()
	} else {
		c.lost(nil)
	}
}
