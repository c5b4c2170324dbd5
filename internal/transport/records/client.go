package records

import (
	"slices"
	"time"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/fdquota"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/session"
)

// Client is the exchange.DependencyClient that speaks to the records service.
type Client struct {
	session.Config
	addr      string            // "" without a service
	connPool  *fdquota.ConnPool // of descriptors for connections
	linger    time.Duration     // for which a canceled call still counts at the service
	calls     map[string]*call
	queue     []*call // without a connection, oldest first
	idleConns []*conn // the latest used last
	latency   session.LatencyEstimator
}

// call is a call that has not ended.
type call struct {
	exchange.Job
	conn        *conn // nil while it has none
	deadline    time.Duration
	sendCount   int
	failedDials int
	retryTimer  *timerqueue.Timer // of the next placement
}

// maxSends is how often an idempotent call is sent.
const maxSends = 3

// mayResend reports whether the call may be sent once more after it may have run.
func (k *call) mayResend() bool { return k.Idempotent && k.sendCount < maxSends }

// New returns a Client that connects when there are calls, as far as the pool has descriptors for
// them. Without an address each call ends as unreachable. A canceled call may go on counting for
// linger at a service that several share: a call is sent again only after that, so that each
// request has one at a time.
func New(addr string, pool *fdquota.ConnPool, linger time.Duration, deps session.Config) *Client {
	return &Client{
		Config:   deps,
		addr:     addr,
		connPool: pool,
		linger:   linger,
		calls:    map[string]*call{},
		latency:  session.NewLatencyEstimator(),
	}
}

// SetAddress has new calls go to another address. Those that were sent stay where they are.
func (c *Client) SetAddress(addr string) {
	if addr == c.addr {
		return
	}
	c.addr = addr
	for len(c.idleConns) > 0 {
		c.idleConns[0].discard()
	}
}

// Call makes a call, in place of an earlier one for the same request; the outcome is posted to
// the exchange.
func (c *Client) Call(job exchange.Job) {
	c.Cancel(job.TraceID)
	k := &call{Job: job, deadline: c.Now() + job.Timeout}
	c.calls[job.TraceID] = k
	c.assignConn(k)
}

// Cancel ends a call. No outcome follows. Its connection is not used again, since the reply
// may still come on it.
func (c *Client) Cancel(traceID string) {
	k := c.calls[traceID]
	if k == nil {
		return
	}
	delete(c.calls, traceID)
	if k.conn == nil {
		c.Timers.Cancel(k.retryTimer)
		c.queue = slices.DeleteFunc(c.queue, func(queued *call) bool { return queued == k })
		return
	}
	k.conn.cancelCall()
}

// finishCall reports the end of a call.
func (c *Client) finishCall(k *call, result exchange.Result, body []byte) {
	delete(c.calls, k.TraceID)
	c.Exchange.Post(exchange.Outcome{TraceID: k.TraceID, Stage: exchange.CallEnded, Result: result, Body: body})
}
