package lease

import (
	"fmt"
	"regexp"
)

// Limits of the replicated state.
const (
	MaxLeases          = 20000          // leases held at the same time
	MaxWaitersPerLease = 64             // waiters for one lease
	MaxWaiters         = 4096           // waiters for all leases
	MinTTLMS           = 500            // minimum TTL in milliseconds
	MaxTTLMS           = 10 * 60 * 1000 // maximum TTL in milliseconds
	MaxOpsPerEntry     = 256            // operations in one log entry
)

// TokensPerMS is the factor from a new cluster's creation time in milliseconds to its token floor. It makes
// the new cluster's tokens higher than those of the cluster that it replaces, as no cluster grants that many
// leases in a millisecond.
const TokensPerMS = 2048

// SafetyMargin is the fraction of a lease's TTL that its holder does not use. It covers a holder's
// clock that runs up to 10% slow and a leader's clock that runs up to 10% fast: in real time, the
// holder's usable TTL lasts at most 0.8/0.9 = 0.89 of the TTL, and the leader's TTL at least
// 1/1.1 = 0.91 of it.
const SafetyMargin = 0.2

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)

// Validate checks a lease name, a holder name and a TTL in milliseconds. Its error wraps
// ErrInvalidRequest.
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
