package durable

import "fmt"

// Loss is the kind of data loss that recovery found.
type Loss int

const (
	// NoLoss means that the log ends with a complete batch and nothing is missing.
	NoLoss Loss = iota
	// TailLoss means that the only missing batches were not synced, or belong to a last
	// group for which no later batch proves that it was synced.
	TailLoss
	// AcknowledgedLoss means that data is missing which was acknowledged, or may have
	// been.
	AcknowledgedLoss
)

// String returns the name of the loss in reports.
func (l Loss) String() string {
	return [...]string{NoLoss: "none", TailLoss: "unsynced tail", AcknowledgedLoss: "acknowledged"}[l]
}

// MarshalText returns the name of the loss.
func (l Loss) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// maxReportedFaults bounds the number of faults, and of warnings, that a report lists.
const maxReportedFaults = 32

// Report describes the recovered content of a folder and the faults in its files.
type Report struct {
	StoreID          string   `json:"store"`
	Seq              uint64   `json:"seq"` // sequence number of the last recovered batch
	Keys             int      `json:"keys"`
	Segments         int      `json:"segments"`
	CheckpointNumber uint32   `json:"checkpoint"` // the checkpoint that was loaded; 0 if none
	ReplayedBatches  int      `json:"replayed"`   // number of batches replayed after the checkpoint
	TruncatedBytes   int64    `json:"cut_bytes"`  // length of the torn tail after the last valid batch
	Loss             Loss     `json:"loss"`
	LostKeys         int      `json:"lost_keys"` // number of keys whose value can't be read
	Unrecoverable    bool     `json:"hopeless"`  // no consistent state can be recovered
	FaultCount       int      `json:"fault_count"`
	Faults           []string `json:"faults"`   // at most maxReportedFaults
	Warnings         []string `json:"warnings"` // faults without loss of data
}

// addFault records a fault that caused the loss of acknowledged data.
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
