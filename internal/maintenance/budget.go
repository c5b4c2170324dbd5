package maintenance

import (
	"errors"
	"fmt"
)

// ErrInvalidBudget means that a field of a disruption budget is out of its range.
var ErrInvalidBudget = errors.New("bad limits")

// DisruptionBudget limits how many machines are out at a time, and for how long each phase may
// last. Operators set it. Capacities are in cores of speed 1; fractions of them are from 0 to 1.
type DisruptionBudget struct {
	MaxOut                  int     `json:"most"`        // machines out at a time; default 1
	MaxOutPerZone           int     `json:"most_zone"`   // machines of one zone out at a time; default 1
	MaxCapacityFraction     float64 `json:"share"`       // of the whole capacity out at a time, above 0 to 1; default 0.2
	MaxZoneCapacityFraction float64 `json:"share_zone"`  // of a zone's capacity, above 0 to 1; default 0.5
	SpareCapacityFraction   float64 `json:"spare"`       // of the capacity that stays, not in use, 0 to below 1; default 0.2
	MaxUtilizationAgeMS     int64   `json:"gauge_ms"`    // a utilization that is older counts as 1; default 10 s
	ConfirmTimeoutMS        int64   `json:"confirm_ms"`  // for a machine to confirm a grant; default 15 s
	OverrunAllowanceMS      int64   `json:"over_ms"`     // for which a machine may be late to be out or back; default 60 s
	WarmUpTimeoutMS         int64   `json:"warm_ms"`     // for a machine that is back to be in service; default 120 s
	AbandonAfterMS          int64   `json:"give_up_ms"`  // after which a failed machine does not count as out; 0, the default, is never
	MaxFailures             int     `json:"failures"`    // failures at which maintenance pauses; default 2
	SpareVoters             int     `json:"voter_spare"` // voters of the store that stay beyond a quorum; default 1
	OvertakingPeriodMS      int64   `json:"patience_ms"` // for which the head of the queue may be overtaken; default 600 s
}

// DefaultDisruptionBudget returns the budget in force until operators set another one.
func DefaultDisruptionBudget() DisruptionBudget {
	return DisruptionBudget{
		MaxOut:                  1,
		MaxOutPerZone:           1,
		MaxCapacityFraction:     0.2,
		MaxZoneCapacityFraction: 0.5,
		SpareCapacityFraction:   0.2,
		MaxUtilizationAgeMS:     10_000,
		ConfirmTimeoutMS:        15_000,
		OverrunAllowanceMS:      60_000,
		WarmUpTimeoutMS:         120_000,
		MaxFailures:             2,
		SpareVoters:             1,
		OvertakingPeriodMS:      600_000,
	}
}

// Validate names a field that is out of its range. Its error wraps ErrInvalidBudget.
func (b DisruptionBudget) Validate() error {
	timeouts := min(b.MaxUtilizationAgeMS, b.ConfirmTimeoutMS, b.OverrunAllowanceMS, b.WarmUpTimeoutMS, b.OvertakingPeriodMS)
	for _, check := range []struct {
		valid bool
		text  string
	}{
		{b.MaxOut >= 1, "most: want 1 or more"},
		{b.MaxOutPerZone >= 1, "most_zone: want 1 or more"},
		{b.MaxCapacityFraction > 0 && b.MaxCapacityFraction <= 1, "share: want above 0 to 1"},
		{b.MaxZoneCapacityFraction > 0 && b.MaxZoneCapacityFraction <= 1, "share_zone: want above 0 to 1"},
		{b.SpareCapacityFraction >= 0 && b.SpareCapacityFraction < 1, "spare: want 0 to below 1"},
		{b.MaxFailures >= 1, "failures: want 1 or more"},
		{timeouts > 0, "times: want above 0"},
		{b.AbandonAfterMS >= 0, "give_up_ms: below 0"},
		{b.SpareVoters >= 0, "voter_spare: below 0"},
	} {
		if !check.valid {
			return fmt.Errorf("%w: %s", ErrInvalidBudget, check.text)
		}
	}
	return nil
}
