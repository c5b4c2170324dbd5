package storeapi

import (
	"fmt"
	"strconv"
	"strings"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
)

// LeaseStatus is one lease of the answer to GET /lease, and the answer to POST /lease/NAME.
type LeaseStatus struct {
	Name        string         `json:"name"`
	Holder      string         `json:"holder"`
	Token       uint64         `json:"token"`
	TTLMS       int64          `json:"ttl_ms"`
	RemainingMS int64          `json:"left_ms,omitempty"` // without a keep-alive, as the leader counts
	Revoked     bool           `json:"revoked,omitempty"`
	Waiters     []lease.Waiter `json:"waiters,omitempty"` // the next holder first
}

// Status returns the lease's state.
func (l LeaseStatus) Status() lease.Status {
	return lease.Lease{Token: l.Token, Revoked: l.Revoked}.Status()
}

// AcquireRequest is the body of POST /lease/NAME.
type AcquireRequest struct {
	Holder   string `json:"holder"`  // no other process goes by this name
	TTLMS    int64  `json:"ttl_ms"`  // lease.MinTTLMS to lease.MaxTTLMS
	WaitMS   int64  `json:"wait_ms"` // 0 to MaxLeaseWait
	Priority int    `json:"priority"`
}

// RenewRequest is the body of PUT /lease, with Leases, and of PUT /lease/NAME, with Token.
type RenewRequest struct {
	Token  uint64               `json:"token,omitempty"`
	Leases []lease.FencingToken `json:"leases,omitempty"`
}

// RenewResponse is the answer to PUT /lease.
type RenewResponse struct {
	Lost []string `json:"gone"` // names of leases that the caller does not hold any more
}

// ParseFencingToken parses NAME/TOKEN, the value of HeaderLease. Its error wraps
// kv.ErrInvalidRequest.
func ParseFencingToken(text string) (lease.FencingToken, error) {
	var fence lease.FencingToken
	var err error
	separator := strings.LastIndex(text, "/")
	if separator > 0 {
		fence.Name = text[:separator]
		fence.Token, err = strconv.ParseUint(text[separator+1:], 10, 64)
	}
	if separator <= 0 || err != nil || fence.Token == 0 {
		return fence, fmt.Errorf("%w: %s: %.150q is not NAME/TOKEN", kv.ErrInvalidRequest, HeaderLease, text)
	}
	return fence, nil
}
