package lease

import "time"

// HolderState is the holder's view of one lease. All times are from the holder's monotonic clock. It is
// not safe for concurrent use.
type HolderState struct {
	Token uint64        // 0 if the lease is not held
	TTL   time.Duration // requested TTL

	deadline      time.Duration
	releasedToken uint64 // highest released token
}

// renewalsPerTTL is the number of keep-alives in one TTL.
const renewalsPerTTL = 3

// usableTTL returns the part of the TTL in which the holder may act.
func (h *HolderState) usableTTL() time.Duration {
	return time.Duration(float64(h.TTL) * (1 - SafetyMargin))
}

// RecordGrant records a positive answer to a request or keep-alive that was sent at sentAt. The deadline
// is measured from sentAt. A released token, or an older one, is ignored: its release may still be in flight,
// and a later request that arrives before the release is granted the same token.
func (h *HolderState) RecordGrant(token uint64, sentAt time.Duration) {
	if token <= h.releasedToken {
		return
	}
	if token != h.Token {
		h.Token = token
		h.deadline = 0
	}
	h.deadline = max(h.deadline, sentAt+h.usableTTL())
}

// Release marks the lease as released, and returns the token to release at the store.
func (h *HolderState) Release() (token uint64) {
	token = h.Token
	h.releasedToken = max(h.releasedToken, token)
	h.MarkLost()
	return token
}

// MarkLost records that the lease is no longer held.
func (h *HolderState) MarkLost() {
	h.Token = 0
	h.deadline = 0
}

// Deadline returns the time by which the holder must stop acting, unless a keep-alive is answered before.
func (h *HolderState) Deadline() time.Duration { return h.deadline }

// MayAct reports whether the holder may act now. The process may be suspended between this check and the
// action; writes that must not be stale also need the fencing token.
func (h *HolderState) MayAct(now time.Duration) bool { return h.Token != 0 && now < h.deadline }

// RenewalDue returns when the next keep-alive is due: a third of the TTL after the last answered request or
// keep-alive was sent.
func (h *HolderState) RenewalDue() time.Duration {
	return h.deadline - h.usableTTL() + h.TTL/renewalsPerTTL
}

// ShouldRenew reports whether a keep-alive is due.
func (h *HolderState) ShouldRenew(now time.Duration) bool {
	return h.Token != 0 && now >= h.RenewalDue()
}
