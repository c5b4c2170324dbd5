package lease

import "time"

// HolderState is the holder's side of one lease. All times are the holder's own, monotonic. It
// is not safe for concurrent use.
type HolderState struct {
	Token uint64        // 0 if the lease is not held
	TTL   time.Duration // as it was requested

	deadline      time.Duration
	releasedToken uint64 // the last token that was given back
}

// renewalsPerTTL is how many keep-alives are due in one TTL.
const renewalsPerTTL = 3

// usableTTL returns the part of the TTL in which the holder may act.
func (h *HolderState) usableTTL() time.Duration {
	return time.Duration(float64(h.TTL) * (1 - SafetyMargin))
}

// RecordGrant notes an answer to a request or keep-alive. The lease counts from sentAt, when
// that was sent. A token that was released, or an older one, is ignored: its release may still
// be on its way, and overtaken by a request that was granted the same token again.
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

// Release gives the lease up, and returns the token to release at the store.
func (h *HolderState) Release() (token uint64) {
	token = h.Token
	h.releasedToken = max(h.releasedToken, token)
	h.MarkLost()
	return token
}

// MarkLost notes that the lease is not held any more.
func (h *HolderState) MarkLost() {
	h.Token = 0
	h.deadline = 0
}

// Deadline returns when the holder must have stopped acting, unless a keep-alive is answered before.
func (h *HolderState) Deadline() time.Duration { return h.deadline }

// MayAct reports whether the holder may act now. The process may be suspended between this and
// the act; what matters needs the fencing token as well.
func (h *HolderState) MayAct(now time.Duration) bool { return h.Token != 0 && now < h.deadline }

// RenewalDue returns when the next keep-alive is due: a third of the TTL after the last one that was
// answered.
func (h *HolderState) RenewalDue() time.Duration {
	return h.deadline - h.usableTTL() + h.TTL/renewalsPerTTL
}

// ShouldRenew reports whether a keep-alive is due.
func (h *HolderState) ShouldRenew(now time.Duration) bool {
	return h.Token != 0 && now >= h.RenewalDue()
}
