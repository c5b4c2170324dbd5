package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"oxbowbridge/internal/maintenance"
	"oxbowbridge/internal/maintenance/chart"
)

// plan prints a schedule of all waiting orders, computed from their current state. The actual order may
// differ: see maintenance.ComputePlan for what the schedule does not consider.
func (s *workCLI) plan(c *cobra.Command, _ []string) error {
	windows, err := parseWindows(s.windows)
	if err != nil {
		return usageError(err)
	}
	if s.chart != "" && !strings.HasSuffix(s.chart, ".svg") && !strings.HasSuffix(s.chart, ".png") {
		return usageError(errors.New("--chart: want a file name that ends in .svg or .png"))
	}
	status, err := s.client().MaintenanceStatus(c.Context())
	if err != nil {
		return err
	}
	input := maintenance.PlanInputFrom(status, time.Now().UnixMilli())
	input.Windows = windows
	input.Seed = s.seed
	plan, err := maintenance.ComputePlan(input)
	if err != nil {
		return err
	}
	if shortage := input.VoterShortage(); shortage != "" {
		fmt.Fprintf(c.ErrOrStderr(), "oxbowbridge: no voter can be taken out of service now: %s; the plan takes out one voter at a time\n", shortage)
	}
	if s.chart != "" {
		if err := chart.Draw(s.chart, plan, input.TotalCapacity); err != nil {
			return err
		}
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), plan)
	}
	return printPlan(c, plan)
}

func printPlan(c *cobra.Command, plan maintenance.Plan) error {
	out := c.OutOrStdout()
	rows := [][]any{{"FROM", "TO", "MACHINE", "ZONE", "CORES"}}
	for _, t := range plan.Schedule {
		rows = append(rows, []any{t.Start.Round(time.Second), t.End.Round(time.Second), t.Machine, t.Zone, t.Capacity})
	}
	if err := printTable(out, rows...); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%v in all; no plan within the limits is shorter than %v\n",
		plan.Duration.Round(time.Second), plan.LowerBound.Round(time.Second))
	return err
}

// parseWindows parses values of the form FROM-TO, durations from now.
func parseWindows(values []string) (windows []maintenance.StartWindow, err error) {
	for _, value := range values {
		fromText, toText, found := strings.Cut(value, "-")
		from, fromErr := time.ParseDuration(fromText)
		to, toErr := time.ParseDuration(toText)
		if err := errors.Join(fromErr, toErr); err != nil || !found || from < 0 || to <= from {
			return nil, errors.Join(fmt.Errorf("--window: want FROM-TO, such as 1h-5h, not %q", value), err)
		}
		windows = append(windows, maintenance.StartWindow{From: from, To: to})
	}
	return windows, nil
}
