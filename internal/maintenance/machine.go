package maintenance

import "fmt"

// MachineState is the state of a machine: in service, warming up or unreachable.
type MachineState string

// States of a machine. The strings are stored and sent.
const (
	MachineInService   MachineState = "in"
	MachineWarmingUp   MachineState = "cold"
	MachineUnreachable MachineState = "away"
)

// String returns the stored form of the state.
func (s MachineState) String() string { return string(s) }

// Machine describes a machine and its last reported state.
type Machine struct {
	Name             string       `json:"name"`
	Zone             string       `json:"zone"` // failure domain
	Cores            float64      `json:"cores"`
	Speed            float64      `json:"speed"` // relative speed of a core
	State            MachineState `json:"state"`
	Utilization      float64      `json:"busy"`             // fraction of its capacity in use, from 0 to 1
	UtilizationAgeMS int64        `json:"age_ms"`           // age of Utilization; negative if unknown
	IsVoter          bool         `json:"voter"`            // it runs a voting node of the store, as far as is known
	ReplicaGroups    []string     `json:"copies,omitempty"` // replica groups of which it holds a copy
}

// Capacity returns the machine's capacity: its cores times their relative speed.
func (m Machine) Capacity() float64 { return m.Cores * m.Speed }

// Heartbeat is a machine's periodic report about itself.
type Heartbeat struct {
	Machine
	IntervalMS int64  `json:"every_ms"`
	Sequence   uint64 `json:"number"`          // differs in each heartbeat of the machine
	GrantToken uint64 `json:"grant,omitempty"` // grant token of the order that the machine has returned from
}

// Limits of the heartbeat interval, in milliseconds.
const (
	MinHeartbeatIntervalMS = 50
	MaxHeartbeatIntervalMS = 600_000
)

// Validate checks the name, the interval and the capacity of a heartbeat. Its error wraps ErrInvalidOrder.
func (h Heartbeat) Validate() error {
	if err := ValidateMachineName(h.Name); err != nil {
		return err
	}
	if h.IntervalMS < MinHeartbeatIntervalMS || h.IntervalMS > MaxHeartbeatIntervalMS || h.Cores < 0 || h.Speed < 0 {
		return fmt.Errorf("%w: every_ms: want %d to %d; cores, speed: below 0", ErrInvalidOrder, MinHeartbeatIntervalMS, MaxHeartbeatIntervalMS)
	}
	return nil
}
