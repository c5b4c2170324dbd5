package lease

import "fmt"

// Status is the state of one lease.
type Status uint8

// The states of a lease. State.Apply documents the transitions between them.
const (
	StatusFree    Status = iota // has no holder
	StatusHeld                  // the holder may renew it
	StatusRevoked               // held until its TTL expires; renewals are rejected
)

// String returns the state's name as shown to operators.
func (s Status) String() string {
	switch s {
	case StatusFree:
		return "free"
	case StatusHeld:
		return "held"
	case StatusRevoked:
		return "revoked"
	}
	return fmt.Sprintf("Status(%d)", uint8(s))
}

// Status derives the lease's state from its token and its Revoked flag.
func (l Lease) Status() Status {
	switch {
	case l.Token == 0:
		return StatusFree
	case l.Revoked:
		return StatusRevoked
	}
	return StatusHeld
}

// OpKind is the kind of an operation on a lease.
type OpKind string

// The kinds of operations, as written to the log.
const (
	OpAcquire  OpKind = "acquire"
	OpWithdraw OpKind = "withdraw"  // a waiter leaves the queue
	OpRelease  OpKind = "release"   // the holder releases the lease
	OpExpire   OpKind = "expire"    // the leader ends the lease after its deadline
	OpHandOver OpKind = "hand-over" // the holder transfers the lease to a named waiter
	OpRevoke   OpKind = "revoke"    // an operator revokes the lease
)

// Op is one operation on a lease. Log entries contain operations.
type Op struct {
	Kind     OpKind `json:"do"`
	Name     string `json:"name"`
	Holder   string `json:"holder,omitempty"` // of OpAcquire and OpWithdraw: the requester; of OpHandOver: the new holder
	TTLMS    int64  `json:"ttl_ms,omitempty"` // of OpAcquire: the TTL in milliseconds
	Token    uint64 `json:"token,omitempty"`  // of OpRelease, OpHandOver and OpExpire: the lease's present token
	Enqueue  bool   `json:"wait,omitempty"`   // of OpAcquire: enqueue the requester if another holder has the lease
	Priority int    `json:"priority,omitempty"`
}

// Result is the outcome of an operation.
type Result struct {
	Lease  Lease     `json:"lease"` // the lease after the operation, without waiters; zero if it is free
	Code   ErrorCode `json:"code,omitempty"`
	Detail string    `json:"why,omitempty"`
}

// Err returns the operation's error, which wraps a sentinel error, or nil if it succeeded.
func (r Result) Err() error {
	if sentinel, ok := errorsByCode[r.Code]; ok {
		return fmt.Errorf("%w: %s", sentinel, r.Detail)
	}
	return nil
}

// Apply executes an operation, and reports whether it granted the lease to a waiter. The table shows all
// transitions of a lease; an operation with "-" leaves the lease unchanged.
//
//	           free        held                                 revoked
//	acquire    held        held (same token), or ErrHeld and    revoked: ErrHeld and
//	                       the caller is enqueued               the caller is enqueued
//	withdraw   -           held, without that waiter            revoked, without that waiter
//	release,   -           free, or held by the first waiter    free, or held by the first waiter
//	  expire
//	hand-over  -           held by the named waiter             held by the named waiter
//	revoke     -           revoked                              revoked
//
// release, expire and hand-over need the lease's present token, or the result is ErrNotHolder.
func (s *State) Apply(op Op) (result Result, granted bool) {
	var l Lease
	var err error
	switch op.Kind {
	case OpAcquire:
		l, err = s.Acquire(op.Name, op.Holder, op.TTLMS, op.Enqueue, op.Priority)
	case OpWithdraw:
		s.Withdraw(op.Name, op.Holder)
		l = s.Leases[op.Name]
	case OpRelease, OpExpire:
		l, granted, err = s.End(op.Name, op.Token)
	case OpHandOver:
		l, err = s.handOver(op.Name, op.Token, op.Holder)
		granted = err == nil
	case OpRevoke:
		l, err = s.revoke(op.Name)
	default:
		err = fmt.Errorf("%w: unknown operation %q", ErrInvalidRequest, op.Kind)
	}
	if err != nil && l.Token == 0 {
		l = s.Leases[op.Name]
	}
	l.Waiters = nil
	return newResult(op.Name, l, err), granted
}

func newResult(name string, l Lease, err error) Result {
	result := Result{Lease: l, Code: codeOf(err)}
	switch result.Code {
	case "":
	case CodeInvalidRequest:
		result.Detail = err.Error()
	default:
		result.Detail = name
	}
	return result
}
