package durable

import "fmt"

// Loss is what recovery found to be missing.
type Loss int

const (
	// NoLoss means that the log ends where a batch ends.
	NoLoss Loss = iota
	// TailLoss means that only batches are missing that no sync had covered, or a last
	// group whose sync no later batch attests.
	TailLoss
	// AcknowledgedLoss means that something is missing that was acknowledged, or may
	// have been.
	AcknowledgedLoss
)

// String is the loss as reports name it.
func (l Loss) String() string {
	return [...]string{NoLoss: "none", TailLoss: "unsynced tail", AcknowledgedLoss: "acknowledged"}[l]
}

// MarshalText encodes the loss by its name.
func (l Loss) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// maxReportedFaults bounds the faults, and the warnings, that a report lists.
const maxReportedFaults = 32

// Report says what a folder holds and what is wrong with it.
type Report struct {
	StoreID          string   `json:"store"`
	Seq              uint64   `json:"seq"` // the last batch of the recovered state
	Keys             int      `json:"keys"`
	Segments         int      `json:"segments"`
	CheckpointNumber uint32   `json:"checkpoint"` // the one that was read; 0 if the log alone was
	ReplayedBatches  int      `json:"replayed"`   // after the checkpoint
	TruncatedBytes   int64    `json:"cut_bytes"`  // after the last good batch
	Loss             Loss     `json:"loss"`
	LostKeys         int      `json:"lost_keys"` // whose value can't be read
	Unrecoverable    bool     `json:"hopeless"`  // no consistent state at all
	FaultCount       int      `json:"fault_count"`
	Faults           []string `json:"faults"`   // the first maxReportedFaults of them
	Warnings         []string `json:"warnings"` // faults that cost no data
}

// addFault records a fault that cost acknowledged data.
func (r *Report) addFault(err error) {
	r.Loss = AcknowledgedLoss
	r.FaultCount++
	if len(r.Faults) < maxReportedFaults {
		r.Faults = append(r.Faults, err.Error())
	}
}

func (r *Report) addWarning(format string, args ...any) {
	if len(r.Warnings) < maxReportedFaults {
		r.Warnings = append(r.Warnings, fmt.Sprintf(format, args...))
	}
}
