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

// workCLI is the flags of the sub-commands of work.
type workCLI struct {
	nodes         []string
	asJSON        bool
	reason        string        // of ask
	duration      time.Duration // of ask
	priority      int           // of ask
	within        time.Duration // of ask: from now, for the latest start
	pauseReason   string        // of pause
	chart         string        // of plan: a file
	windows       []string      // of plan: FROM-TO
	seed          uint64        // of plan
	watchInterval time.Duration // of watch
}

func workCommand() *cobra.Command {
	s := &workCLI{}
	c, add := nodesCommand("work", "Take machines out for work, in an order that the services settle", &s.nodes, &s.asJSON)
	ask := add("ask MACHINE ...", "Ask for work on machines", cobra.MinimumNArgs(1), s.ask)
	ask.Flags().StringVar(&s.reason, "reason", "", "what for")
	ask.Flags().DurationVar(&s.duration, "for", 10*time.Minute, "how long each is out at most")
	ask.Flags().IntVar(&s.priority, "priority", 0, "higher goes first")
	ask.Flags().DurationVar(&s.within, "within", 0, "not to begin later than that; 0 is any time")
	add("list", "Show the order: who is out, who waits, and why", cobra.NoArgs, s.list)
	plan := add("plan", "Lay out the whole order ahead, within the limits", cobra.NoArgs, s.plan)
	plan.Flags().StringVar(&s.chart, "chart", "", "also draw it, to a file that ends in .svg or .png")
	plan.Flags().StringSliceVar(&s.windows, "window", nil, "only begin from FROM to TO from now, such as 1h-5h; may be given again")
	plan.Flags().Uint64Var(&s.seed, "seed", 1, "of the search")
	add("cancel MACHINE ...", "Take requests back; one that failed loses its place", cobra.MinimumNArgs(1), s.forEach(cancelOrder))
	pause := add("pause", "Have nobody new go", cobra.NoArgs, s.setPause(true))
	pause.Flags().StringVar(&s.pauseReason, "reason", "by an operator", "why")
	add("resume", "Have the order go on; what has failed by now is seen", cobra.NoArgs, s.setPause(false))
	add("back MACHINE ...", "Say for machines that they are back", cobra.MinimumNArgs(1), s.forEach(reportReturned))
	watchCommand := add("watch", "Show the order again and again, until it is done or interrupted", cobra.NoArgs, s.watch)
	watchCommand.Flags().DurationVar(&s.watchInterval, "every", time.Second, "how often")
	return c
}

func (s *workCLI) client() *storeclient.Client { return storeclient.New(s.nodes) }

// machineAction does something for one machine.
type machineAction func(ctx context.Context, client *storeclient.Client, machine string) error

// forEach does something for all machines that are named. Its error names each that failed.
func (s *workCLI) forEach(do machineAction) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, machines []string) error {
		client := s.client()
		var errs []error
		for _, machine := range machines {
			if err := do(c.Context(), client, machine); err != nil {
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

// ask submits an order for each machine that is named, or none if one is not valid.
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
		inPhase := time.Since(time.UnixMilli(o.PhaseSinceMS)).Round(time.Second)
		rows = append(rows, []any{o.Machine, o.Phase, inPhase, milliseconds(o.DurationMS), o.Priority, o.Reason, o.PhaseReason + o.WaitReason})
	}
	return printTable(out, rows...)
}

// watch prints the orders again and again, until none is open or it is interrupted.
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

// clearSequence returns what clears the screen, if that is where the output goes.
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
