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
	MaxOps        = 128 // max. elements in each of Fences, If, Then and Else
)

// OpKind is the kind of an operation.
type OpKind string

// Kinds of operations in a transaction.
const (
	OpPut    OpKind = "put"
	OpDelete OpKind = "delete"
	OpGet    OpKind = "get"
)

// Op is one operation of a transaction.
type Op struct {
	Kind  OpKind          `json:"do"`
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value,omitempty"` // new value, only for OpPut
}

// Put returns an operation that writes a key.
func Put(key string, value json.RawMessage) Op { return Op{Kind: OpPut, Key: key, Value: value} }

// Delete returns an operation that deletes a key, if it exists.
func Delete(key string) Op { return Op{Kind: OpDelete, Key: key} }

// Get returns an operation that reads a key.
func Get(key string) Op { return Op{Kind: OpGet, Key: key} }

// Compare is the condition that a key has a revision. The revision of a key that does not exist is 0.
type Compare struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Request is the content of one log entry. It opens a session (OpenSession), operates on leases
// (LeaseOps), or is a transaction (the other fields). A transaction is applied completely or not at
// all; each lease operation succeeds or fails on its own.
type Request struct {
	TimeMS        int64                `json:"time_ms"`           // timestamp that the leader set, Unix milliseconds
	OpenSession   bool                 `json:"open,omitempty"`    // if true, all other fields but TimeMS are ignored
	LeaseOps      []lease.Op           `json:"leases,omitempty"`  // applied independently of each other
	TokenFloor    uint64               `json:"floor,omitempty"`   // all later fencing tokens are higher; 0 means no floor
	Fences        []lease.FencingToken `json:"fence,omitempty"`   // leases that must be held, else ErrFenced
	SessionID     uint64               `json:"session,omitempty"` // session of the request; 0 if it has none
	RequestNumber uint64               `json:"number,omitempty"`  // from 1, ascending in the session
	If            []Compare            `json:"if,omitempty"`      // if all hold, Then is applied, otherwise Else
	Then          []Op                 `json:"then"`
	Else          []Op                 `json:"else,omitempty"`
}

// ValidateSize checks the number of operations of a request. It must be called before the request is
// appended to the log: Apply does not check the number, because log entries of earlier versions may
// have more operations. The error wraps ErrInvalidRequest.
func (r *Request) ValidateSize() error {
	if len(r.LeaseOps) > lease.MaxOpsPerEntry || len(r.Fences) > MaxOps || len(r.If) > MaxOps || len(r.Then) > MaxOps || len(r.Else) > MaxOps {
		return fmt.Errorf("%w: more than %d compares or operations", ErrInvalidRequest, MaxOps)
	}
	return nil
}

// Validate checks the parts of a request that do not depend on the state. The error wraps
// ErrInvalidRequest.
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

// Result is the outcome of one operation of a transaction: the key as the operation left it.
type Result struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"`        // 0 if the key does not exist
	Value    json.RawMessage `json:"value,omitempty"` // value that was read, only for OpGet
}

// Response is the outcome of a request.
type Response struct {
	Succeeded     bool           `json:"held"`              // all conditions of If held and Then was applied
	Revision      uint64         `json:"revision"`          // index of the request's log entry
	SessionID     uint64         `json:"session,omitempty"` // the new session, if the request opened one
	Results       []Result       `json:"results,omitempty"` // one for each operation of Then or Else
	LeaseResults  []lease.Result `json:"leases,omitempty"`  // one for each operation of LeaseOps
	GrantedLeases []string       `json:"given,omitempty"`   // names of leases that were granted to a waiter
}
