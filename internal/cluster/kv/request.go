package kv

import (
	"encoding/json"
	"fmt"
	"slices"

	"oxbowbridge/internal/cluster/lease"
)

// Limits of a request.
const (
	MaxKeyBytes   = 200
	MaxValueBytes = 64 << 10
	MaxOps        = 128 // in each of Fences, If, Then and Else
)

// OpKind is what an operation does.
type OpKind string

// Kinds of operations.
const (
	OpPut    OpKind = "put"
	OpDelete OpKind = "delete"
	OpGet    OpKind = "get"
)

// Op is one operation of a transaction.
type Op struct {
	Kind  OpKind          `json:"do"`
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value,omitempty"` // of OpPut
}

// Put returns an operation that writes a key.
func Put(key string, value json.RawMessage) Op { return Op{Kind: OpPut, Key: key, Value: value} }

// Delete returns an operation that deletes a key, if it exists.
func Delete(key string) Op { return Op{Kind: OpDelete, Key: key} }

// Get returns an operation that reads a key.
func Get(key string) Op { return Op{Kind: OpGet, Key: key} }

// Compare holds if the key has the revision. The revision of a key that does not exist is 0.
type Compare struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Request is one entry of the log. All of it takes effect, or nothing. It is one of: a new
// session (OpenSession), operations on leases (LeaseOps), or a transaction (the rest).
type Request struct {
	TimeMS        int64                `json:"time_ms"`           // the leader's stamp, Unix milliseconds
	OpenSession   bool                 `json:"open,omitempty"`    // nothing but TimeMS is read then
	LeaseOps      []lease.Op           `json:"leases,omitempty"`  // each succeeds or fails on its own
	TokenFloor    uint64               `json:"floor,omitempty"`   // fencing tokens given from now on are higher
	Fences        []lease.FencingToken `json:"fence,omitempty"`   // all must be held, or the result is ErrFenced
	SessionID     uint64               `json:"session,omitempty"` // 0 is none
	RequestNumber uint64               `json:"number,omitempty"`  // in the session, from 1; larger for each new request
	If            []Compare            `json:"if,omitempty"`      // if all hold, Then is carried out, otherwise Else
	Then          []Op                 `json:"then"`
	Else          []Op                 `json:"else,omitempty"`
}

// ValidateSize checks the number of operations of a request before it enters the log. Apply does not
// check it: entries of earlier versions may have more. Its error wraps ErrInvalidRequest.
func (r *Request) ValidateSize() error {
	if len(r.LeaseOps) > lease.MaxOpsPerEntry || len(r.Fences) > MaxOps || len(r.If) > MaxOps || len(r.Then) > MaxOps || len(r.Else) > MaxOps {
		return fmt.Errorf("%w: more than %d compares or operations", ErrInvalidRequest, MaxOps)
	}
	return nil
}

// Validate checks what no state would accept. Its error wraps ErrInvalidRequest.
func (r *Request) Validate() error {
	if r.SessionID != 0 && r.RequestNumber == 0 {
		return fmt.Errorf("%w: a session's requests are numbered from 1", ErrInvalidRequest)
	}
	for _, c := range r.If {
		if err := validateKey(c.Key); err != nil {
			return err
		}
	}
	for _, op := range slices.Concat(r.Then, r.Else) {
		if err := op.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (op Op) validate() error {
	if err := validateKey(op.Key); err != nil {
		return err
	}
	switch {
	case op.Kind != OpPut && op.Kind != OpDelete && op.Kind != OpGet:
		return fmt.Errorf("%w: %s: unknown operation %q", ErrInvalidRequest, op.Key, op.Kind)
	case op.Kind != OpPut && op.Value != nil:
		return fmt.Errorf("%w: %s: %s takes no value", ErrInvalidRequest, op.Key, op.Kind)
	case op.Kind == OpPut && (len(op.Value) > MaxValueBytes || string(op.Value) == "null" || !json.Valid(op.Value)):
		return fmt.Errorf("%w: %s: the value must be JSON, not null, of at most %d bytes", ErrInvalidRequest, op.Key, MaxValueBytes)
	}
	return nil
}

func validateKey(key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return fmt.Errorf("%w: key %.40q: want 1 to %d bytes", ErrInvalidRequest, key, MaxKeyBytes)
	}
	return nil
}

// Result is the outcome of an operation of a transaction: the key after it.
type Result struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"`        // 0 if the key does not exist
	Value    json.RawMessage `json:"value,omitempty"` // of OpGet
}

// Response is the outcome of a request.
type Response struct {
	Succeeded     bool           `json:"held"`              // all compares held (nothing to do with leases), and Then was carried out
	Revision      uint64         `json:"revision"`          // the log entry's index
	SessionID     uint64         `json:"session,omitempty"` // that was opened
	Results       []Result       `json:"results,omitempty"` // one for each operation
	LeaseResults  []lease.Result `json:"leases,omitempty"`  // one for each operation on a lease
	GrantedLeases []string       `json:"given,omitempty"`   // leases that were granted to a waiter
}
