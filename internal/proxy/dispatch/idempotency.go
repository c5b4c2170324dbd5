package dispatch

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/idempotency"
)

// This file has the rules by which the attempts of one request of a deduplicated class
// share one run. The idempotency key names the request:
//
//   - the first attempt owns the key, and may run; each further one is a duplicate, which
//     is answered with the owner's result and never run;
//   - a key that comes with another class or body fails, and nothing runs;
//   - a key for which the table has no room is rejected, with the time of the next free
//     place as retry advice;
//   - a key whose owner ran is kept for the class's window and deadline after the owner's
//     arrival (completeKey); one whose owner never ran is free at once.

// reserveKeyMemory raises the memory that the controller counts for a key, so that its
// memory is full when the idempotency table is.
func reserveKeyMemory(settings *admission.Settings, maxTableBytes int) {
	for _, class := range settings.Classes {
		if class.ExecutionSemantics == admission.Deduplicated {
			maxKeys := max(1, maxTableBytes/idempotency.MaxEntryBytes)
			settings.KeyMemoryKB = max(settings.KeyMemoryKB, settings.MemoryKB/float64(maxKeys))
		}
	}
}

// claimKey finds the attempt's place in the idempotency table. It reports false, with the
// request answered, if there is none.
func (d *Dispatcher) claimKey(r *request) bool {
	now := d.Now()
	key := idempotency.Request{Key: r.IdempotencyKey, Class: r.Class, Body: r.Body}
	claim, err := d.idempotency.Claim(now, key, r.id)
	switch {
	case errors.Is(err, idempotency.ErrKeyReused):
		d.Log.Warn("idempotency key reused for another request", zap.String("trace_id", r.TraceID))
		d.sendResponse(r.Request, exchange.Response{Kind: exchange.Failed, InvalidRequest: true})
		return false
	case err != nil:
		d.Log.Warn("request rejected, idempotency table full", zap.Int("keys", d.idempotency.Len()))
		d.sendResponse(r.Request, exchange.Response{Kind: exchange.Rejected, RetryAfter: d.untilKeyExpires(now)})
		return false
	case claim.Owned:
		r.ownedEntry = claim.Entry
	default:
		r.originalEntry = claim.Entry
	}
	return true
}

// untilKeyExpires is the time until the next key expires, within what callers honour. It is
// 0 if none will expire by itself.
func (d *Dispatcher) untilKeyExpires(now time.Duration) time.Duration {
	next, _ := d.idempotency.NextExpiry()
	return min(max(0, next-now), d.controllerSettings.MaxRetryAfter)
}

// completeKey records the result of the attempt that owns a key, nil if it has none, and
// answers its duplicates. Duplicates come while the class's window is open, which is
// counted from the owner's arrival, and wait no longer than the class's deadline after that.
func (d *Dispatcher) completeKey(r *request, result []byte) {
	if r.ownedEntry == nil {
		return
	}
	class := &d.controllerSettings.Classes[r.Class]
	expiry := r.arrivedAt + class.DedupWindow + class.Deadline
	for _, id := range d.idempotency.Complete(r.ownedEntry, result, expiry) {
		d.answerDuplicate(d.byID[id])
	}
}

// joinOriginal answers a duplicate with the result of its original, now or when there is one.
func (d *Dispatcher) joinOriginal(now time.Duration, r *request) {
	if r.originalEntry == nil || r.answered || !r.state.advance(joinOriginalRun) {
		return
	}
	r.startedAt = now
	if r.originalEntry.Ended {
		d.answerDuplicate(r)
	} else {
		d.idempotency.AddWaiter(r.originalEntry, r.id)
	}
}

// answerDuplicate ends a duplicate that waits for its original.
func (d *Dispatcher) answerDuplicate(r *request) {
	if r == nil || r.state != awaitingOriginal {
		return
	}
	response := exchange.Response{Kind: exchange.Failed}
	outcome := admission.OutcomeInternal
	if r.originalEntry.Result != nil {
		response = exchange.Response{Kind: exchange.Succeeded, Body: r.originalEntry.Result}
		outcome = admission.OutcomeOK
	}
	d.reportNextTurn(admission.Completed{ID: r.id, Elapsed: d.Now() - r.startedAt, Outcome: outcome})
	d.respond(r, response)
}
