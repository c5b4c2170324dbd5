package lease

import (
	"fmt"
	"regexp"
)

// Limits of the replicated state.
const (
	MaxLeases          = 20000          // held at once
	MaxWaitersPerLease = 64             // in the queue of one lease
	MaxWaiters         = 4096           // in all queues
	MinTTLMS           = 500            // milliseconds
	MaxTTLMS           = 10 * 60 * 1000 // milliseconds
	MaxOpsPerEntry     = 256            // operations in one entry of the log
)

// TokensPerMS is how many tokens a new cluster skips for each millisecond of its clock, so that
// its tokens are above those of the cluster that it replaces: no cluster grants so many leases in
// a millisecond.
const TokensPerMS = 2048

// SafetyMargin is the fraction of a lease's TTL that its holder does not use. It covers a
// holder's clock that runs up to 10% slow and a leader's that runs up to 10% fast:
// the holder's usable TTL lasts at most 0.8/0.9 = 0.89 of the TTL, the leader's TTL
// at least 1/1.1 = 0.91 of it.
const SafetyMargin = 0.2

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)

// Validate checks the names and the TTL, in milliseconds, of a request for a lease. Its error
// wraps ErrInvalidRequest.
func Validate(name, holder string, ttlMS int64) error {
	switch {
	case !validName.MatchString(name):
		return fmt.Errorf("%w: name %.40q: want 1 to 128 letters, digits, or . _ : / -", ErrInvalidRequest, name)
	case !validName.MatchString(holder):
		return fmt.Errorf("%w: holder %.40q: want 1 to 128 letters, digits, or . _ : / -", ErrInvalidRequest, holder)
	case ttlMS < MinTTLMS || ttlMS > MaxTTLMS:
		return fmt.Errorf("%w: ttl of %d ms: want %d to %d", ErrInvalidRequest, ttlMS, MinTTLMS, MaxTTLMS)
	}
	return nil
}
