package lease

import "time"

// Holder is the holder's side of one lease. Times are its own, monotonic.
type Holder struct {
	Token uint64
	TTL   time.Duration
	until time.Duration
	given uint64 // the last token that it gave back
}

// Granted notes an answer to a request that was sent at a time: the lease counts from
// then on. A token that it gave back doesn't count any more: its release may still be on
// its way, and overtaken by a request that was given the same token again.
func (h *Holder) Granted(token uint64, sent time.Duration) {
	if token <= h.given {
		return
	}
	if token != h.Token {
		h.Token, h.until = token, 0
	}
	h.until = max(h.until, sent+time.Duration(float64(h.TTL)*(1-Margin)))
}

// Release gives the lease back: what is to be told to the store is the token.
func (h *Holder) Release() (token uint64) {
	h.given = max(h.given, h.Token)
	token, h.Token, h.until = h.Token, 0, 0
	return token
}

// Lost notes that the lease is not its any more.
func (h *Holder) Lost() { h.Token, h.until = 0, 0 }

// Until is when it must have stopped acting, if no answer comes before.
func (h *Holder) Until() time.Duration { return h.until }

// May tells whether it may act at a time. Between this and the act it may stand still for
// any time: what matters goes through a fence.
func (h *Holder) May(now time.Duration) bool { return h.Token != 0 && now < h.until }

// RenewAt is when a keep-alive is due: a third of its time after the last.
func (h *Holder) RenewAt() time.Duration {
	return h.until - time.Duration(float64(h.TTL)*(1-Margin)) + h.TTL/3
}

// Renew tells whether it is time for a keep-alive.
func (h *Holder) Renew(now time.Duration) bool { return h.Token != 0 && now >= h.RenewAt() }

// Fence is what an outside resource does with tokens: it keeps the highest that it has
// seen, and refuses lower ones.
type Fence struct{ Highest uint64 }

// Admit tells whether an act under a token may take effect.
func (f *Fence) Admit(token uint64) bool {
	if token < f.Highest {
		return false
	}
	f.Highest = token
	return true
}
