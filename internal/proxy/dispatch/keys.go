package dispatch

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/idempotency"
)

// claim finds the replay key's place for a try, or answers it if there is none.
func (c *Dispatcher) claim(r *request) bool {
	now := c.Now()
	e, verdict := c.keys.Claim(now, idempotency.Request{Key: r.IdempotencyKey, Class: r.Class, Body: r.Body}, r.id)
	switch verdict {
	case idempotency.Claimed:
		r.own = e
	case idempotency.Duplicate:
		r.other = e
	case idempotency.KeyMismatch:
		c.Log.Warn("replay key of another request", zap.String("trace", r.TraceID))
		c.turnDown(r.Request, exchange.Response{Kind: exchange.Failed, InvalidRequest: true})
	case idempotency.TableFull:
		// Guards the memory, and every key that is inside its window.
		c.Log.Warn("request turned down: no room for its replay key", zap.Int("keys", c.keys.Len()))
		next, _ := c.keys.NextExpiry()
		c.turnDown(r.Request, exchange.Response{Kind: exchange.Rejected, RetryAfter: min(max(0, next-now), c.set.MaxRetryAfter)})
	}
	return e != nil
}

// keep notes what came of the try that owns a replay key, and answers those that
// waited for it. Tries may come while the window is open, which is counted from the
// arrival of the one that ran, and are never run later than their deadline after that.
func (c *Dispatcher) keep(r *request, result []byte) {
	if r.own == nil {
		return
	}
	k := &c.set.Classes[r.Class]
	for _, id := range c.keys.Complete(r.own, result, r.arrived+k.DedupWindow+k.Deadline) {
		c.shared(c.byID[id])
	}
}

// share answers a request with what came of the try that it repeats, now or later.
func (c *Dispatcher) share(now time.Duration, r *request) {
	if r.other == nil || r.phase != held || r.answered {
		return
	}
	r.phase, r.began = sharing, now
	if r.other.Ended {
		c.shared(r)
	} else {
		c.keys.AddWaiter(r.other, r.id)
	}
}

// shared ends a request that waited for another try.
func (c *Dispatcher) shared(r *request) {
	if r == nil || r.phase != sharing {
		return
	}
	a, out := exchange.Response{Kind: exchange.Failed}, admission.OutcomeInternal
	if r.other.Result != nil {
		a, out = exchange.Response{Kind: exchange.Succeeded, Body: r.other.Result}, admission.OutcomeOK
	}
	c.tellSoon(admission.Completed{ID: r.id, Elapsed: c.Now() - r.began, Outcome: out})
	c.settle(r, a)
}
