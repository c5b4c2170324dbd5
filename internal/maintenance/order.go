package maintenance

import (
	"errors"
	"fmt"
	"regexp"
	"time"
)

// Limits of an order's fields.
const (
	MinDuration    = time.Second
	MaxDuration    = 24 * time.Hour
	MaxReasonBytes = 200
)

// ErrInvalidOrder means that an order or a heartbeat is not valid.
var ErrInvalidOrder = errors.New("bad request for work")

var validMachineName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Order is a request for maintenance of one machine. Its stored times come from the clocks of the nodes that
// wrote them, and are for operators to read. Before it calls Decide, the controller replaces PhaseSinceMS and
// RequestedMS by the times at which the deciding node observed them, on its own clock, so that no timeout
// compares the clocks of two machines. Only LatestStartMS is compared with the clock of another machine.
type Order struct {
	Machine       string `json:"node"`
	Reason        string `json:"reason"`
	DurationMS    int64  `json:"for_ms"`              // maximum time that the machine is out
	Priority      int    `json:"priority"`            // an order of higher priority is granted first
	LatestStartMS int64  `json:"latest_ms,omitempty"` // Unix time after which the order is not granted; 0 means no limit
	Phase         Phase  `json:"state"`
	Ticket        uint64 `json:"ticket"`             // increases in order of arrival
	GrantToken    uint64 `json:"grant,omitempty"`    // fencing token of the machine's lease; unique per grant
	RequestedMS   int64  `json:"asked_ms,omitempty"` // Unix time, by the clock of the leader that accepted the order
	PhaseSinceMS  int64  `json:"since_ms"`           // Unix time, by the clock of the node that wrote the phase
	PhaseReason   string `json:"why,omitempty"`      // why the order is in its phase
}

// Validate checks a submitted order. Its error wraps ErrInvalidOrder.
func (o Order) Validate() error {
	if err := ValidateMachineName(o.Machine); err != nil {
		return err
	}
	switch {
	case o.DurationMS < MinDuration.Milliseconds() || o.DurationMS > MaxDuration.Milliseconds():
		return fmt.Errorf("%w: for_ms: want %d to %d", ErrInvalidOrder, MinDuration.Milliseconds(), MaxDuration.Milliseconds())
	case len(o.Reason) > MaxReasonBytes:
		return fmt.Errorf("%w: reason: want at most %d bytes", ErrInvalidOrder, MaxReasonBytes)
	case o.LatestStartMS < 0:
		return fmt.Errorf("%w: latest_ms: below 0", ErrInvalidOrder)
	}
	return nil
}

// ValidateMachineName checks a machine's name. Its error wraps ErrInvalidOrder.
func ValidateMachineName(name string) error {
	if !validMachineName.MatchString(name) {
		return fmt.Errorf("%w: node %.40q: want 1 to 64 letters, digits, dots, dashes or underscores", ErrInvalidOrder, name)
	}
	return nil
}

// Pause says whether maintenance is paused: no order is granted while it is.
type Pause struct {
	Paused               bool     `json:"paused"`
	Reason               string   `json:"why,omitempty"`
	AcknowledgedFailures []string `json:"seen,omitempty"` // machines with acknowledged failures, which no longer count
}

// PauseRequest is the body of a request to pause or resume.
type PauseRequest struct {
	Reason string `json:"why"`
}

// OrderStatus is an order as shown to operators.
type OrderStatus struct {
	Order
	WaitReason string `json:"waits,omitempty"` // why the order is not granted yet
}

// Status is the state of all orders and machines as shown to operators. In its JSON, "order" is the holder
// of the controller's lease and "jobs" are the orders.
type Status struct {
	Controller  string           `json:"order"` // holder of the controller's lease
	Pause       Pause            `json:"pause"`
	Budget      DisruptionBudget `json:"limits"`
	HeadOfQueue string           `json:"first,omitempty"` // machine of the first order that is not granted
	WaitReason  string           `json:"why,omitempty"`   // why that order is not granted
	Orders      []OrderStatus    `json:"jobs"`
	Machines    []Machine        `json:"machines"`
}
