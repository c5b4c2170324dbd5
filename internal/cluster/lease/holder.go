package lease

import "time"

// HolderState is the holder's side of one lease. Times are its own, monotonic.
type HolderState struct {
	Token uint64
	TTL   time.Duration
	until time.Duration
	given uint64 // the last token that it gave back
}

// RecordGrant notes an answer to a request that was sent at a time: the lease counts from
// then on. A token that it gave back doesn't count any more: its release may still be on
// its way, and overtaken by a request that was given the same token again.
func (h *HolderState) RecordGrant(token uint64, sent time.Duration) {
	if token <= h.given {
		return
	}
	if token != h.Token {
		h.Token, h.until = token, 0
	}
	h.until = max(h.until, sent+time.Duration(float64(h.TTL)*(1-SafetyMargin)))
}

// Release gives the lease back: what is to be told to the store is the token.
func (h *HolderState) Release() (token uint64) {
	h.given = max(h.given, h.Token)
	token, h.Token, h.until = h.Token, 0, 0
	return token
}

// MarkLost notes that the lease is not its any more.
func (h *HolderState) MarkLost() { h.Token, h.until = 0, 0 }

// Deadline is when it must have stopped acting, if no answer comes before.
func (h *HolderState) Deadline() time.Duration { return h.until }

// MayAct tells whether it may act at a time. Between this and the act it may stand still for
// any time: what matters goes through a fence.
func (h *HolderState) MayAct(now time.Duration) bool { return h.Token != 0 && now < h.until }

// RenewalDue is when a keep-alive is due: a third of its time after the last.
func (h *HolderState) RenewalDue() time.Duration {
	return h.until - time.Duration(float64(h.TTL)*(1-SafetyMargin)) + h.TTL/3
}

// ShouldRenew tells whether it is time for a keep-alive.
func (h *HolderState) ShouldRenew(now time.Duration) bool {
	return h.Token != 0 && now >= h.RenewalDue()
}

// FencedResource is what an outside resource does with tokens: it keeps the highest that it has
// seen, and refuses lower ones.
type FencedResource struct{ HighestToken uint64 }

// Admit tells whether an act under a token may take effect.
func (f *FencedResource) Admit(token uint64) bool {
	if token < f.HighestToken {
		return false
	}
	f.HighestToken = token
	return true
}
