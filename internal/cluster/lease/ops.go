package lease

import "fmt"

// Status is the state of one lease.
type Status uint8

// States of a lease. See State.Apply for the transitions between them.
const (
	StatusFree    Status = iota // nobody holds it
	StatusHeld                  // its holder may renew it
	StatusRevoked               // its holder keeps it for what is left of its TTL
)

// String returns the state as operators see it.
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

// Status returns the lease's state.
func (l Lease) Status() Status {
	switch {
	case l.Token == 0:
		return StatusFree
	case l.Revoked:
		return StatusRevoked
	}
	return StatusHeld
}

// OpKind is what an operation does.
type OpKind string

// Kinds of operations, as the log has them.
const (
	OpAcquire  OpKind = "acquire"
	OpWithdraw OpKind = "withdraw"  // leave the queue
	OpRelease  OpKind = "release"   // by the holder
	OpExpire   OpKind = "expire"    // by the leader
	OpHandOver OpKind = "hand-over" // release in favour of a named waiter
	OpRevoke   OpKind = "revoke"    // by an operator
)

// Op is one operation on a lease, in an entry of the log.
type Op struct {
	Kind     OpKind `json:"do"`
	Name     string `json:"name"`
	Holder   string `json:"holder,omitempty"` // who acquires or withdraws; to whom it is handed over
	TTLMS    int64  `json:"ttl_ms,omitempty"` // milliseconds, of OpAcquire
	Token    uint64 `json:"token,omitempty"`  // under which it is released, handed over or expired
	Enqueue  bool   `json:"wait,omitempty"`   // of OpAcquire: wait for a lease that another one holds
	Priority int    `json:"priority,omitempty"`
}

// Result is the outcome of an operation.
type Result struct {
	Lease  Lease     `json:"lease"` // after the operation, without its waiters; zero if it is free
	Code   ErrorCode `json:"code,omitempty"`
	Detail string    `json:"why,omitempty"`
}

// Err returns the error of the operation, which wraps a sentinel error; nil if it succeeded.
func (r Result) Err() error {
	if sentinel, ok := errorsByCode[r.Code]; ok {
		return fmt.Errorf("%w: %s", sentinel, r.Detail)
	}
	return nil
}

// Apply carries out an operation, and reports whether it granted the lease to a waiter. These
// are all transitions of a lease; an operation that a cell does not name leaves it as it is.
//
//	           free        held                                 revoked
//	acquire    held        held (same token), or ErrHeld and    revoked: ErrHeld and
//	                       a place in the queue                 a place in the queue
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
