package maintenance

import (
	"errors"
	"fmt"
)

// ErrInvalidBudget means that a field of a disruption budget is out of range.
var ErrInvalidBudget = errors.New("bad limits")

// DisruptionBudget limits how many machines may be out of service for maintenance at a time, and how
// long each phase of an order may last. Operators set it. A machine's capacity is its number of cores
// times their relative speed.
type DisruptionBudget struct {
	MaxOut                  int     `json:"most"`        // machines out of service at a time; default 1
	MaxOutPerZone           int     `json:"most_zone"`   // machines of one zone out of service at a time; default 1
	MaxCapacityFraction     float64 `json:"share"`       // fraction of all capacity out at a time, in (0, 1]; default 0.2
	MaxZoneCapacityFraction float64 `json:"share_zone"`  // fraction of a zone's capacity out, in (0, 1]; default 0.5
	SpareCapacityFraction   float64 `json:"spare"`       // minimum unused fraction of the capacity in service, in [0, 1); default 0.2
	MaxUtilizationAgeMS     int64   `json:"gauge_ms"`    // a utilization that is older counts as 1; default 10 s
	ConfirmTimeoutMS        int64   `json:"confirm_ms"`  // time for a machine to confirm a grant; default 15 s
	OverrunGracePeriodMS    int64   `json:"over_ms"`     // how late a machine may finish draining, or return; default 60 s
	WarmUpTimeoutMS         int64   `json:"warm_ms"`     // time for a returned machine to be in service; default 120 s
	AbandonAfterMS          int64   `json:"give_up_ms"`  // time until a failed machine stops counting as out; 0 (default) is never
	MaxFailures             int     `json:"failures"`    // unacknowledged failures at which maintenance pauses; default 2
	SpareVoters             int     `json:"voter_spare"` // store voters that stay in service beyond a quorum; default 1
	MaxOvertakingMS         int64   `json:"patience_ms"` // how long orders may overtake the queue's head; default 600 s
}

// DefaultDisruptionBudget returns the budget that applies until operators set another one.
func DefaultDisruptionBudget() DisruptionBudget {
	return DisruptionBudget{
		MaxOut:                  1,
		MaxOutPerZone:           1,
		MaxCapacityFraction:     0.2,
		MaxZoneCapacityFraction: 0.5,
		SpareCapacityFraction:   0.2,
		MaxUtilizationAgeMS:     10_000,
		ConfirmTimeoutMS:        15_000,
		OverrunGracePeriodMS:    60_000,
		WarmUpTimeoutMS:         120_000,
		MaxFailures:             2,
		SpareVoters:             1,
		MaxOvertakingMS:         600_000,
	}
}

// Validate returns an error that names the first field out of range. The error wraps ErrInvalidBudget.
func (b DisruptionBudget) Validate() error {
	timeouts := min(b.MaxUtilizationAgeMS, b.ConfirmTimeoutMS, b.OverrunGracePeriodMS, b.WarmUpTimeoutMS, b.MaxOvertakingMS)
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
