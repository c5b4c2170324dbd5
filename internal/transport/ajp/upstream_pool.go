package ajp

import (
	"maps"
	"slices"
	"time"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/slowstart"
	"oxbowbridge/internal/transport/session"
)

const (
	maxIdleTime         = 10 * time.Second       // an unused connection is closed after this time
	probeInterval       = 500 * time.Millisecond // interval between dials to a server that refuses connections
	placementRetryDelay = 20 * time.Millisecond  // delay before the pool tries again to place queued runs
	maxSendsPerRun      = 2                      // how often the request of an idempotent run may be sent
)

// UpstreamPool is an exchange.Runner that executes runs on AJP servers, one run at a time per connection. It
// must be used only by the dispatcher's goroutine.
type UpstreamPool struct {
	session.Config
	addrs      []string // addresses of the listed servers
	secret     string
	gaugeNames []string // in the order in which gauges are reported
	slowStart  slowstart.Config
	seed       uint64 // random seed of the slow starts; differs between processes

	servers            map[string]*upstreamServer // by address
	takenAddrCount     int                        // addresses taken so far; modulo len(addrs) it is the index of the next one
	idle               []*upstreamConn            // the most recently used is last
	runs               map[string]*upstreamRun    // by trace id
	queue              []*upstreamRun             // runs that wait for a slot at a server in slow start, oldest first
	placementScheduled bool                       // a timer is set that places the queued runs
	ready              bool                       // an upstream has answered
}

// upstreamRun is a run that has not finished.
type upstreamRun struct {
	exchange.Job
	startedAt   time.Duration
	sendCount   int // how often its request was sent; it may have been executed as often
	failedDials int // failed dials of connections to which the run was assigned
	conn        *upstreamConn
}

// NewUpstreamPool returns a pool without connections. The slow start configuration applies to each server.
// The seed must differ between processes.
func NewUpstreamPool(addrs []string, secret string, gaugeNames []string, slowStart slowstart.Config, seed uint64, deps session.Config) *UpstreamPool {
	return &UpstreamPool{
		Config:     deps,
		addrs:      addrs,
		secret:     secret,
		gaugeNames: gaugeNames,
		slowStart:  slowStart,
		seed:       seed,
		servers:    map[string]*upstreamServer{},
		runs:       map[string]*upstreamRun{},
	}
}

// Open connects to the upstreams, and repeats this every probeInterval until one of them answers a health
// check. The service is ready from then on.
func (p *UpstreamPool) Open() {
	if p.ready {
		return
	}
	p.connectReachable(p.addrs)
	p.Timers.Schedule(p.Now()+probeInterval, p.Open)
}

// connectReachable connects to the servers that are not known to refuse connections. It does so even without
// a run to place: only after a refused dial does the pool probe a server and detect its start.
func (p *UpstreamPool) connectReachable(addrs []string) {
	for _, addr := range addrs {
		if !p.server(addr).refusesConnections {
			p.connect(addr, nil)
		}
	}
}

// reportReady notifies the dispatcher, once, that an upstream has answered.
func (p *UpstreamPool) reportReady() {
	if p.ready {
		return
	}
	p.ready = true
	p.Log.Info("upstream up")
	p.Exchange.Post(exchange.RunnerReady{})
}

// SetAddresses replaces the server addresses and the secret for new runs. Runs that were already sent are not
// moved. A server that was not listed before is treated as just started.
func (p *UpstreamPool) SetAddresses(addrs []string, secret string) {
	var added []string
	for _, addr := range addrs {
		if !p.isListed(addr) {
			added = append(added, addr)
			p.startSlowStart(p.server(addr))
		}
	}
	p.addrs = addrs
	p.secret = secret
	p.connectReachable(added)
	maps.DeleteFunc(p.servers, func(addr string, _ *upstreamServer) bool { return !p.isListed(addr) })
	for _, c := range slices.Clone(p.idle) {
		if !p.isListed(c.addr) {
			c.closeConn(nil)
		}
	}
}

func (p *UpstreamPool) isListed(addr string) bool { return slices.Contains(p.addrs, addr) }

// Run starts the run of a job.
func (p *UpstreamPool) Run(job exchange.Job) {
	r := &upstreamRun{Job: job, startedAt: p.Now()}
	p.runs[job.TraceID] = r
	p.placeRun(r)
}

// Stop ends a run. It closes the connection to which the run is assigned, or removes the run from the queue.
func (p *UpstreamPool) Stop(traceID string, _ bool) {
	r := p.runs[traceID]
	if r == nil {
		return
	}
	if c := r.conn; c != nil {
		c.detachRun()
		c.closeConn(nil)
	} else {
		p.queue = slices.DeleteFunc(p.queue, func(queued *upstreamRun) bool { return queued == r })
	}
	p.finishRun(r, exchange.ResultStopped, nil)
}

// Resume does nothing. Stop ends a run and cannot pause it, so the dispatcher preempts no runs
// (dispatch.Config.RunnerCannotPause).
func (p *UpstreamPool) Resume(string) {}

// Discard does nothing, since there are no paused runs.
func (p *UpstreamPool) Discard(string) {}

// DeliverReply does nothing, since an upstream calls the records service itself.
func (p *UpstreamPool) DeliverReply(string, []byte) {}

// Names, in the settings, of the gauges that the pool computes without a report from the upstream.
const (
	gaugeCoreUse = "core_use" // busy fraction of the cores, from 0 to 1
	gaugeOnCores = "on_cores" // number of runs
	unknownGauge = -1         // value of all other gauges
)

// RequestGauges posts the gauges to the dispatcher. It computes the known gauges as if each run used one core.
func (p *UpstreamPool) RequestGauges() {
	busy := float64(len(p.runs))
	var gauges exchange.Gauges
	for _, name := range p.gaugeNames {
		switch name {
		case gaugeCoreUse:
			gauges = append(gauges, min(1, busy/float64(p.slowStart.Cores)))
		case gaugeOnCores:
			gauges = append(gauges, busy)
		default:
			gauges = append(gauges, unknownGauge)
		}
	}
	p.Exchange.Post(gauges)
}

// finishRun removes a run and reports its outcome to the dispatcher.
func (p *UpstreamPool) finishRun(r *upstreamRun, result exchange.Result, body []byte) {
	delete(p.runs, r.TraceID)
	p.Exchange.Post(exchange.Outcome{TraceID: r.TraceID, Stage: exchange.RunEnded, Result: result, Duration: p.Now() - r.startedAt, Body: body})
}
