package storeapi

import (
	"fmt"
	"strconv"
	"strings"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
)

// LeaseStatus describes one lease in the response to GET /lease. It is also the body of the response to
// GET and POST /lease/NAME.
type LeaseStatus struct {
	Name        string         `json:"name"`
	Holder      string         `json:"holder"`
	Token       uint64         `json:"token"`
	TTLMS       int64          `json:"ttl_ms"`
	RemainingMS int64          `json:"left_ms,omitempty"` // time to expiry, measured by the leader
	Revoked     bool           `json:"revoked,omitempty"`
	Waiters     []lease.Waiter `json:"waiters,omitempty"` // in the order in which they get the lease
}

// Status returns the state of the lease.
func (l LeaseStatus) Status() lease.Status {
	return lease.Lease{Token: l.Token, Revoked: l.Revoked}.Status()
}

// AcquireRequest is the body of POST /lease/NAME.
type AcquireRequest struct {
	Holder   string `json:"holder"`  // must be unique to the process
	TTLMS    int64  `json:"ttl_ms"`  // lease.MinTTLMS to lease.MaxTTLMS
	WaitMS   int64  `json:"wait_ms"` // how long to wait for the lease, 0 to MaxLeaseWait
	Priority int    `json:"priority"`
}

// RenewRequest is the body of PUT /lease, which sets only Leases, and of PUT /lease/NAME, which sets
// only Token.
type RenewRequest struct {
	Token  uint64               `json:"token,omitempty"`
	Leases []lease.FencingToken `json:"leases,omitempty"`
}

// RenewResponse is the body of the response to PUT /lease.
type RenewResponse struct {
	Lost []string `json:"gone"` // names of leases that are no longer held under the tokens of the request
}

// ParseFencingToken parses the value of HeaderLease, NAME/TOKEN. The error wraps kv.ErrInvalidRequest.
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
