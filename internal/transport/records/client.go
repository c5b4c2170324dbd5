package records

import (
	"slices"
	"time"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/fdquota"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/session"
)

// Client is the exchange.DependencyClient for the records service.
type Client struct {
	session.Config
	addr      string            // empty if there is no records service
	connPool  *fdquota.ConnPool // limits the number of connections
	linger    time.Duration     // how long a canceled call still counts at the service
	calls     map[string]*call
	queue     []*call // calls that wait for a connection, oldest first
	idleConns []*conn // most recently used last
	latency   session.LatencyEstimator
}

// call is a call that has not ended.
type call struct {
	exchange.Job
	conn        *conn // nil while the call has no connection
	deadline    time.Duration
	sendCount   int
	failedDials int
	retryTimer  *timerqueue.Timer // assigns a connection after a delay
}

// maxSends is the maximum number of attempts of an idempotent call.
const maxSends = 3

// mayResend reports whether the call may be sent again although the service may have run it.
func (k *call) mayResend() bool { return k.Idempotent && k.sendCount < maxSends }

// New returns a Client that connects on demand, as long as the pool has descriptors for calls. Without
// an address each call ends as unreachable. A service that is shared by several clients may count a
// canceled call for the duration linger. A call is sent again only after that time, so that each request
// counts as at most one call.
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

// SetAddress sends new calls to another address. Calls in flight continue on their connections.
func (c *Client) SetAddress(addr string) {
	if addr == c.addr {
		return
	}
	c.addr = addr
	for len(c.idleConns) > 0 {
		c.idleConns[0].discard()
	}
}

// Call starts a call and posts its outcome to the exchange. It cancels an earlier call for the same
// request.
func (c *Client) Call(job exchange.Job) {
	c.Cancel(job.TraceID)
	k := &call{Job: job, deadline: c.Now() + job.Timeout}
	c.calls[job.TraceID] = k
	c.assignConn(k)
}

// Cancel cancels a call, whose outcome is then not posted. Its connection is closed, since the reply
// may still arrive on it.
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

// finishCall removes a call and posts its outcome.
func (c *Client) finishCall(k *call, result exchange.Result, body []byte) {
	delete(c.calls, k.TraceID)
	c.Exchange.Post(exchange.Outcome{TraceID: k.TraceID, Stage: exchange.CallEnded, Result: result, Body: body})
}
