package dispatch

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/idempotency"
)

// This file has the rules by which the attempts of one request of a deduplicated class share one
// run. The idempotency key identifies the request:
//
//   - The first attempt owns the key and may run. Each later attempt is a duplicate, which gets the
//     owner's result as its response and never runs.
//   - An attempt that uses a known key with a different class or body fails without running.
//   - If the table has no capacity for a new key, the attempt is rejected. Its Retry-After is the
//     time until the next key expires.
//   - A key whose owner was started is stored until the class's deduplication window plus its
//     deadline have passed since the owner's arrival (completeKey). A key whose owner never ran is
//     removed immediately.

// raiseKeyMemory raises the memory per key in the controller's settings, so that the controller
// considers its memory full no later than the idempotency table is full.
func raiseKeyMemory(settings *admission.Settings, maxTableBytes int) {
	for _, class := range settings.Classes {
		if class.ExecutionSemantics == admission.Deduplicated {
			maxKeys := max(1, maxTableBytes/idempotency.MaxEntryBytes)
			settings.KeyMemoryKB = max(settings.KeyMemoryKB, settings.MemoryKB/float64(maxKeys))
		}
	}
}

// claimKey claims the attempt's idempotency key: the attempt becomes the key's owner or a duplicate.
// If the claim fails, claimKey sends the response and returns false.
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
		d.Log.Warn("request rejected: idempotency table full", zap.Int("keys", d.idempotency.Len()))
		d.sendResponse(r.Request, exchange.Response{Kind: exchange.Rejected, RetryAfter: d.timeUntilKeyExpiry(now)})
		return false
	case claim.Owned:
		r.ownedEntry = claim.Entry
	default:
		r.originalEntry = claim.Entry
	}
	return true
}

// timeUntilKeyExpiry returns the time until the next key expires, limited to the maximum Retry-After
// that callers honor. It returns 0 if no key has an expiry time.
func (d *Dispatcher) timeUntilKeyExpiry(now time.Duration) time.Duration {
	next, _ := d.idempotency.NextExpiry()
	return min(max(0, next-now), d.controllerSettings.MaxRetryAfter)
}

// completeKey stores the result of an attempt that owns a key (nil if there is no result) and
// responds to its duplicates. Duplicates arrive within the class's deduplication window, measured
// from the owner's arrival, and wait at most the class's deadline after they arrive. The key expires
// after both.
func (d *Dispatcher) completeKey(r *request, result []byte) {
	if r.ownedEntry == nil {
		return
	}
	class := &d.controllerSettings.Classes[r.Class]
	expiry := r.arrivedAt + class.DedupWindow + class.Deadline
	for _, id := range d.idempotency.Complete(r.ownedEntry, result, expiry) {
		d.respondToDuplicate(d.byID[id])
	}
}

// joinOriginal responds to a duplicate with the result of its original attempt, immediately if the
// original has ended, otherwise when it ends.
func (d *Dispatcher) joinOriginal(now time.Duration, r *request) {
	if r.originalEntry == nil || r.answered || !r.state.advance(joinOriginalRun) {
		return
	}
	r.startedAt = now
	if r.originalEntry.OwnerEnded {
		d.respondToDuplicate(r)
	} else {
		d.idempotency.AddWaiter(r.originalEntry, r.id)
	}
}

// respondToDuplicate responds to a duplicate that waits for its original attempt, which has ended.
func (d *Dispatcher) respondToDuplicate(r *request) {
	if r == nil || r.state != awaitingOriginal {
		return
	}
	response := exchange.Response{Kind: exchange.Failed}
	outcome := admission.OutcomeInternal
	if r.originalEntry.Result != nil {
		response = exchange.Response{Kind: exchange.Succeeded, Body: r.originalEntry.Result}
		outcome = admission.OutcomeOK
	}
	d.reportInNextIteration(admission.Completed{ID: r.id, Elapsed: d.Now() - r.startedAt, Outcome: outcome})
	d.respond(r, response)
}
