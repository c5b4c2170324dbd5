package lease

import "errors"

var (
	// ErrHeld means that another holder has the lease. The caller may have been enqueued as a waiter.
	ErrHeld = errors.New("lease is held")
	// ErrNotHolder means that the lease is no longer held under the given token.
	ErrNotHolder = errors.New("lease is not the holder's any more")
	// ErrTooMany means that the limit MaxLeases, MaxWaiters or MaxWaitersPerLease is reached.
	ErrTooMany = errors.New("too many leases")
	// ErrInvalidRequest means that a name, a TTL or an operation is invalid.
	ErrInvalidRequest = errors.New("bad lease request")
	// ErrWaiterNotFound means that the target of a handover is not waiting for the lease.
	ErrWaiterNotFound = errors.New("nobody of that name waits for the lease")
)

// ErrorCode identifies a sentinel error in a Result. The empty code means success.
type ErrorCode string

// Error codes of a Result.
const (
	CodeHeld           ErrorCode = "held"
	CodeNotHolder      ErrorCode = "gone"
	CodeTooMany        ErrorCode = "full"
	CodeInvalidRequest ErrorCode = "request"
	CodeWaiterNotFound ErrorCode = "no_waiter"
)

// errorsByCode maps each code to its sentinel error.
var errorsByCode = map[ErrorCode]error{
	CodeHeld:           ErrHeld,
	CodeNotHolder:      ErrNotHolder,
	CodeTooMany:        ErrTooMany,
	CodeInvalidRequest: ErrInvalidRequest,
	CodeWaiterNotFound: ErrWaiterNotFound,
}

// codeOf returns the code of an error that wraps a sentinel error, or "" for any other error.
func codeOf(err error) ErrorCode {
	for code, sentinel := range errorsByCode {
		if errors.Is(err, sentinel) {
			return code
		}
	}
	return ""
}
