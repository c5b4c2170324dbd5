package lease

import "errors"

var (
	// ErrHeld means that another holder has the lease; nothing was done.
	ErrHeld = errors.New("lease is held")
	// ErrNotHolder means that the lease is not held under the given token any more.
	ErrNotHolder = errors.New("lease is not the holder's any more")
	// ErrTooMany means that MaxLeases, MaxWaiters or MaxWaitersPerLease is reached.
	ErrTooMany = errors.New("too many leases")
	// ErrInvalidRequest means that a name, a TTL or an operation is not valid.
	ErrInvalidRequest = errors.New("bad lease request")
	// ErrWaiterNotFound means that the holder to hand a lease over to does not wait for it.
	ErrWaiterNotFound = errors.New("nobody of that name waits for the lease")
)

// ErrorCode is an error as a Result has it. The empty code is success.
type ErrorCode string

// Error codes of a Result.
const (
	CodeHeld           ErrorCode = "held"
	CodeNotHolder      ErrorCode = "gone"
	CodeTooMany        ErrorCode = "full"
	CodeInvalidRequest ErrorCode = "request"
	CodeWaiterNotFound ErrorCode = "no_waiter"
)

// errorsByCode holds each code's sentinel error.
var errorsByCode = map[ErrorCode]error{
	CodeHeld:           ErrHeld,
	CodeNotHolder:      ErrNotHolder,
	CodeTooMany:        ErrTooMany,
	CodeInvalidRequest: ErrInvalidRequest,
	CodeWaiterNotFound: ErrWaiterNotFound,
}

// codeOf returns the code of an error that wraps one of the sentinel errors; "" for any other.
func codeOf(err error) ErrorCode {
	for code, sentinel := range errorsByCode {
		if errors.Is(err, sentinel) {
			return code
		}
	}
	return ""
}
