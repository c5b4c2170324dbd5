package maintenance

// Heartbeat is what a machine says of itself, again and again.
type Heartbeat struct {
	Machine
	IntervalMS int64  `json:"every_ms"` // between two beats
	Sequence   uint64 `json:"number"`
	GrantToken uint64 `json:"grant,omitempty"` // of the job that it knows itself to be in
}

// OrderStatus is a machine's job as GET /work shows it.
type OrderStatus struct {
	Order
	WaitReason string `json:"waits,omitempty"` // for what, while it is asked for
}

// Status is the answer to GET /
type Status struct {
	Controller  string           `json:"order"` // who decides
	Pause       Pause            `json:"pause"`
	Budget      DisruptionBudget `json:"limits"`
	HeadOfQueue string           `json:"first,omitempty"` // in line
	WaitReason  string           `json:"why,omitempty"`   // it waits
	Orders      []OrderStatus    `json:"jobs"`
	Machines    []Machine        `json:"machines"`
}

// PhaseReport is what a machine, or an operator for it, says of its
type PhaseReport struct {
	Phase      Phase  `json:"state"`
	GrantToken uint64 `json:"grant,omitempty"` // the token of the lease under which it leaves
	Reason     string `json:"why,omitempty"`
}

// PauseRequest is the reason of a pause.
type PauseRequest struct {
	Reason string `json:"why"`
}
