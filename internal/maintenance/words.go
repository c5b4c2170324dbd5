package maintenance

// Beat is what a machine says of itself, again and again.
type Beat struct {
	Machine
	EveryMS int64  `json:"every_ms"` // between two beats
	Number  uint64 `json:"number"`
	Grant   uint64 `json:"grant,omitempty"` // of the job that it knows itself to be in
}

// Row is a machine's job as GET /work shows it.
type Row struct {
	Job
	Waits string `json:"waits,omitempty"` // for what, while it is asked for
}

// Status is the answer to GET /
type Status struct {
	Order    string    `json:"order"` // who decides
	Pause    Pause     `json:"pause"`
	Limits   Limits    `json:"limits"`
	First    string    `json:"first,omitempty"` // in line
	Why      string    `json:"why,omitempty"`   // it waits
	Jobs     []Row     `json:"jobs"`
	Machines []Machine `json:"machines"`
}

// Report is what a machine, or an operator for it, says of its
type Report struct {
	Phase Phase  `json:"state"`
	Grant uint64 `json:"grant,omitempty"` // the token of the lease under which it leaves
	Why   string `json:"why,omitempty"`
}

// Why is the reason of a pause.
type Why struct {
	Why string `json:"why"`
}
