package durable

import "fmt"

// Loss is what recovery found to be missing.
type Loss int

const (
	// NoLoss: the log ends where a batch ends.
	NoLoss Loss = iota
	// TailLoss: what was cut off can only be batches that no sync had covered, or a
	// last group whose sync nothing later attests.
	TailLoss
	// AcknowledgedLoss: something is missing that was acknowledged, or may have been.
	AcknowledgedLoss
)

func (l Loss) String() string { return [...]string{"none", "unsynced tail", "acknowledged"}[l] }

// MarshalText has reports say it in words.
func (l Loss) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

const faultsMost = 32 // that a report lists

// Report says what a folder holds and what is wrong with it.
type Report struct {
	StoreID          string   `json:"store"`
	Seq              uint64   `json:"seq"` // the last batch of the recovered state
	Keys             int      `json:"keys"`
	Segments         int      `json:"segments"`
	CheckpointNumber uint32   `json:"checkpoint"` // that was read; 0 if the log alone was
	ReplayedBatches  int      `json:"replayed"`   // batches, after it
	TruncatedBytes   int64    `json:"cut_bytes"`  // after the last good batch
	Loss             Loss     `json:"loss"`
	LostKeys         int      `json:"lost_keys"` // whose value can't be read
	Unrecoverable    bool     `json:"hopeless"`  // no consistent state at all
	FaultCount       int      `json:"fault_count"`
	Faults           []string `json:"faults"`   // the first of them
	Warnings         []string `json:"warnings"` // that cost nothing
}

func (r *Report) add(err error) {
	r.Loss = AcknowledgedLoss
	r.FaultCount++
	if len(r.Faults) < faultsMost {
		r.Faults = append(r.Faults, err.Error())
	}
}

func (r *Report) warn(format string, args ...any) {
	if len(r.Warnings) < faultsMost {
		r.Warnings = append(r.Warnings, fmt.Sprintf(format, args...))
	}
}
