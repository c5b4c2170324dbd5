package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"oxbowbridge/internal/cluster/storeclient"
	"oxbowbridge/internal/maintenance"
)

// workCLI holds the flags of the subcommands of "work", which manage maintenance orders.
type workCLI struct {
	nodes         []string
	asJSON        bool
	reason        string        // of ask
	duration      time.Duration // of ask
	priority      int           // of ask
	within        time.Duration // of ask: time from now until the latest start
	pauseReason   string        // of pause
	chart         string        // of plan: path of the chart file
	windows       []string      // of plan: each FROM-TO
	seed          uint64        // of plan
	watchInterval time.Duration // of watch
}

func workCommand() *cobra.Command {
	s := &workCLI{}
	c, add := adminClientCommand("work", "Take machines out of service for maintenance, scheduled by the services", &s.nodes, &s.asJSON)
	ask := add("ask MACHINE ...", "Request maintenance of machines", cobra.MinimumNArgs(1), s.ask)
	ask.Flags().StringVar(&s.reason, "reason", "", "reason for the maintenance")
	ask.Flags().DurationVar(&s.duration, "for", 10*time.Minute, "maximum time that each machine is out of service")
	ask.Flags().IntVar(&s.priority, "priority", 0, "orders with a higher priority start first")
	ask.Flags().DurationVar(&s.within, "within", 0, "latest start, as a time from now; 0 allows any time")
	add("list", "Show the maintenance orders with their state and wait reason", cobra.NoArgs, s.list)
	plan := add("plan", "Compute a schedule of all orders within the disruption budget", cobra.NoArgs, s.plan)
	plan.Flags().StringVar(&s.chart, "chart", "", "also draw the schedule to this file, which ends in .svg or .png")
	plan.Flags().StringSliceVar(&s.windows, "window", nil, "start maintenance only between FROM and TO from now, such as 1h-5h; can be repeated")
	plan.Flags().Uint64Var(&s.seed, "seed", 1, "random seed of the search for a schedule")
	add("cancel MACHINE ...", "Cancel orders that have not started, and abandon failed orders", cobra.MinimumNArgs(1), s.forEach(cancelOrder))
	pause := add("pause", "Pause maintenance: start no further order", cobra.NoArgs, s.setPause(true))
	pause.Flags().StringVar(&s.pauseReason, "reason", "by an operator", "reason for the pause")
	add("resume", "Resume maintenance and acknowledge failed orders", cobra.NoArgs, s.setPause(false))
	add("back MACHINE ...", "Report that machines are back in service", cobra.MinimumNArgs(1), s.forEach(reportReturned))
	watchCommand := add("watch", "Show the maintenance orders periodically, until none is open or until interrupted", cobra.NoArgs, s.watch)
	watchCommand.Flags().DurationVar(&s.watchInterval, "every", time.Second, "interval between updates")
	return c
}

func (s *workCLI) client() *storeclient.Client { return storeclient.New(s.nodes) }

// machineAction is an operation on one machine.
type machineAction func(ctx context.Context, client *storeclient.Client, machine string) error

// forEach returns a command that applies the action to each machine in its arguments. Its error names each
// machine for which the action failed.
func (s *workCLI) forEach(action machineAction) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, machines []string) error {
		client := s.client()
		var errs []error
		for _, machine := range machines {
			if err := action(c.Context(), client, machine); err != nil {
				errs = append(errs, fmt.Errorf("%s: %w", machine, err))
			}
		}
		return errors.Join(errs...)
	}
}

func cancelOrder(ctx context.Context, client *storeclient.Client, machine string) error {
	return client.CancelOrder(ctx, machine)
}

func reportReturned(ctx context.Context, client *storeclient.Client, machine string) error {
	return client.ReportPhase(ctx, machine, maintenance.PhaseReport{Phase: maintenance.PhaseReturned})
}

// ask submits an order for each machine in its arguments, or no order if one of them is invalid.
func (s *workCLI) ask(c *cobra.Command, machines []string) error {
	order := maintenance.Order{Reason: s.reason, DurationMS: s.duration.Milliseconds(), Priority: s.priority}
	if s.within > 0 {
		order.LatestStartMS = time.Now().Add(s.within).UnixMilli()
	}
	for _, machine := range machines {
		order.Machine = machine
		if err := order.Validate(); err != nil {
			return usageError(err)
		}
	}
	submit := func(ctx context.Context, client *storeclient.Client, machine string) error {
		order.Machine = machine
		_, err := client.SubmitOrder(ctx, order)
		return err
	}
	return s.forEach(submit)(c, machines)
}

func (s *workCLI) setPause(paused bool) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, _ []string) error {
		return s.client().PauseMaintenance(c.Context(), paused, s.pauseReason)
	}
}

func (s *workCLI) list(c *cobra.Command, _ []string) error {
	status, err := s.client().MaintenanceStatus(c.Context())
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), status)
	}
	return printMaintenance(c.OutOrStdout(), status)
}

func printMaintenance(out io.Writer, status maintenance.Status) error {
	fmt.Fprintf(out, "order settled by %s; most out at once %d, %d in a zone\n",
		cmp.Or(status.Controller, "nobody yet"), status.Budget.MaxOut, status.Budget.MaxOutPerZone)
	if status.Pause.Paused {
		fmt.Fprintf(out, "PAUSED: %s ('work resume' has it go on)\n", status.Pause.Reason)
	}
	if status.HeadOfQueue != "" {
		fmt.Fprintf(out, "next is %s: %s\n", status.HeadOfQueue, cmp.Or(status.WaitReason, "now"))
	}
	rows := [][]any{{"MACHINE", "STATE", "SINCE", "FOR", "PRIORITY", "REASON", "WHY"}}
	for _, o := range status.Orders {
		timeInPhase := time.Since(time.UnixMilli(o.PhaseSinceMS)).Round(time.Second)
		rows = append(rows, []any{o.Machine, o.Phase, timeInPhase, milliseconds(o.DurationMS), o.Priority, o.Reason, o.PhaseReason + o.WaitReason})
	}
	return printTable(out, rows...)
}

// watch prints the orders periodically, until none is open or until interrupted.
func (s *workCLI) watch(c *cobra.Command, _ []string) error {
	ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	out := c.OutOrStdout()
	client := s.client()
	clearScreen := clearSequence(out)
	for {
		status, err := client.MaintenanceStatus(ctx)
		if ctx.Err() != nil {
			return nil // interrupted
		}
		if err != nil {
			fmt.Fprintln(c.ErrOrStderr(), "oxbowbridge:", err)
		} else {
			fmt.Fprint(out, clearScreen)
			if err := printMaintenance(out, status); err != nil {
				return err
			}
			if !slices.ContainsFunc(status.Orders, func(o maintenance.OrderStatus) bool { return o.Phase.IsOpen() }) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(s.watchInterval):
		}
	}
}

// clearSequence returns the escape sequence that clears the screen, or "" if the output is not a terminal.
func clearSequence(out io.Writer) string {
	const cursorHomeAndClear = "\x1b[H\x1b[2J"
	file, ok := out.(*os.File)
	if !ok {
		return ""
	}
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return ""
	}
	return cursorHomeAndClear
}
