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
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"oxbowbridge/internal/cluster/storeclient"
	"oxbowbridge/internal/maintenance"
	"oxbowbridge/internal/maintenance/chart"
)

// workCLI is what the sub-commands of work share.
type workCLI struct {
	nodes    []string
	asJSON   bool
	reason   string // of ask
	why      string // of pause
	length   time.Duration
	priority int
	latest   time.Duration
	chart    string
	windows  []string
	seed     uint64
	every    time.Duration
}

func workCommand() *cobra.Command {
	s := &workCLI{}
	c, add := nodesCommand("work", "Take machines out for work, in an order that the services settle", &s.nodes, &s.asJSON)
	ask := add("ask MACHINE ...", "Ask for work on machines", cobra.MinimumNArgs(1), s.ask)
	ask.Flags().StringVar(&s.reason, "reason", "", "what for")
	ask.Flags().DurationVar(&s.length, "for", 10*time.Minute, "how long each is out at most")
	ask.Flags().IntVar(&s.priority, "priority", 0, "higher goes first")
	ask.Flags().DurationVar(&s.latest, "within", 0, "not to begin later than that; 0 is any time")
	add("list", "Show the order: who is out, who waits, and why", cobra.NoArgs, s.list)
	plan := add("plan", "Lay out the whole order ahead, within the limits", cobra.NoArgs, s.plan)
	plan.Flags().StringVar(&s.chart, "chart", "", "also draw it, to a file that ends in .svg or .png")
	plan.Flags().StringSliceVar(&s.windows, "window", nil, "only begin from FROM to TO from now, such as 1h-5h; may be given again")
	plan.Flags().Uint64Var(&s.seed, "seed", 1, "of the search")
	add("cancel MACHINE ...", "Take requests back; one that failed loses its place", cobra.MinimumNArgs(1), s.each((*storeclient.Client).CancelOrder))
	pause := add("pause", "Have nobody new go", cobra.NoArgs, s.pause(true))
	pause.Flags().StringVar(&s.why, "reason", "by an operator", "why")
	add("resume", "Have the order go on; what has failed by now is seen", cobra.NoArgs, s.pause(false))
	add("back MACHINE ...", "Say for machines that they are back", cobra.MinimumNArgs(1), s.each(func(c *storeclient.Client, ctx context.Context, node string) error {
		return c.ReportPhase(ctx, node, maintenance.PhaseReport{Phase: maintenance.PhaseReturned})
	}))
	watch := add("watch", "Show the order again and again, until it is done or interrupted", cobra.NoArgs, s.watch)
	watch.Flags().DurationVar(&s.every, "every", time.Second, "how often")
	return c
}

func (s *workCLI) client() *storeclient.Client { return storeclient.New(s.nodes) }

// each does something for all machines that are named, and says of each that could not be.
func (s *workCLI) each(do func(*storeclient.Client, context.Context, string) error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, nodes []string) (err error) {
		client := s.client()
		for _, n := range nodes {
			if e := do(client, c.Context(), n); e != nil {
				err = errors.Join(err, fmt.Errorf("%s: %w", n, e))
			}
		}
		return err
	}
}

func (s *workCLI) ask(c *cobra.Command, nodes []string) error {
	j := maintenance.Order{Reason: s.reason, DurationMS: s.length.Milliseconds(), Priority: s.priority}
	if s.latest > 0 {
		j.LatestStartMS = time.Now().Add(s.latest).UnixMilli()
	}
	for _, n := range nodes {
		j.Node = n
		if err := j.Validate(); err != nil {
			return usageError(err)
		}
	}
	return s.each(func(client *storeclient.Client, ctx context.Context, node string) error {
		j.Node = node
		_, err := client.SubmitOrder(ctx, j)
		return err
	})(c, nodes)
}

func (s *workCLI) pause(paused bool) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, _ []string) error {
		return s.client().PauseMaintenance(c.Context(), paused, s.why)
	}
}

func (s *workCLI) list(c *cobra.Command, _ []string) error {
	st, err := s.client().MaintenanceStatus(c.Context())
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), st)
	}
	return showWork(c.OutOrStdout(), st)
}

func showWork(out io.Writer, st maintenance.Status) error {
	fmt.Fprintf(out, "order settled by %s; most out at once %d, %d in a zone\n", cmp.Or(st.Controller, "nobody yet"), st.Budget.MaxOut, st.Budget.MaxOutPerZone)
	if st.Pause.Paused {
		fmt.Fprintf(out, "PAUSED: %s ('work resume' has it go on)\n", st.Pause.Reason)
	}
	if st.HeadOfQueue != "" {
		fmt.Fprintf(out, "next is %s: %s\n", st.HeadOfQueue, cmp.Or(st.WaitReason, "now"))
	}
	rows := [][]any{{"MACHINE", "STATE", "SINCE", "FOR", "PRIORITY", "REASON", "WHY"}}
	for _, j := range st.Orders {
		since := time.Since(time.UnixMilli(j.PhaseSinceMS)).Round(time.Second)
		rows = append(rows, []any{j.Node, j.Phase, since, time.Duration(j.DurationMS) * time.Millisecond, j.Priority, j.Reason, j.PhaseReason + j.WaitReason})
	}
	return table(out, rows...)
}

func (s *workCLI) watch(c *cobra.Command, _ []string) error {
	ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	out, client := c.OutOrStdout(), s.client()
	clear := ""
	if f, ok := out.(*os.File); ok {
		if info, err := f.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
			clear = "\x1b[H\x1b[2J"
		}
	}
	for {
		st, err := client.MaintenanceStatus(ctx)
		if ctx.Err() != nil {
			return nil // interrupted
		}
		if err != nil {
			fmt.Fprintln(c.ErrOrStderr(), "oxbowbridge:", err)
		} else {
			fmt.Fprint(out, clear)
			if err := showWork(out, st); err != nil {
				return err
			}
			if !slices.ContainsFunc(st.Orders, func(r maintenance.OrderStatus) bool { return r.Phase.Open() }) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(s.every):
		}
	}
}

// plan lays out what is asked for, from the order as it is now.
func (s *workCLI) plan(c *cobra.Command, _ []string) error {
	windows, err := parseWindows(s.windows)
	if err != nil {
		return usageError(err)
	}
	if s.chart != "" && !strings.HasSuffix(s.chart, ".svg") && !strings.HasSuffix(s.chart, ".png") {
		return usageError(errors.New("--chart: want a file that ends in .svg or .png"))
	}
	st, err := s.client().MaintenanceStatus(c.Context())
	if err != nil {
		return err
	}
	q := maintenance.PlanInputFrom(st, time.Now().UnixMilli())
	q.Windows, q.Seed = windows, s.seed
	p, err := maintenance.ComputePlan(q)
	if err != nil {
		return err
	}
	if s.chart != "" {
		if err := chart.Draw(s.chart, p, q.TotalCapacity); err != nil {
			return err
		}
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), p)
	}
	rows := [][]any{{"FROM", "TO", "MACHINE", "ZONE", "CORES"}}
	for _, x := range p.Schedule {
		rows = append(rows, []any{x.Start.Round(time.Second), x.End.Round(time.Second), x.Node, x.Zone, x.Capacity})
	}
	if err := table(c.OutOrStdout(), rows...); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "%v in all; no plan within the limits is shorter than %v\n", p.Duration.Round(time.Second), p.LowerBound.Round(time.Second))
	return err
}

func parseWindows(texts []string) (list []maintenance.StartWindow, err error) {
	for _, t := range texts {
		from, to, ok := strings.Cut(t, "-")
		a, err1 := time.ParseDuration(from)
		b, err2 := time.ParseDuration(to)
		if err := errors.Join(err1, err2); err != nil || !ok || a < 0 || b <= a {
			return nil, errors.Join(fmt.Errorf("--window: %q is not FROM-TO, such as 1h-5h", t), err)
		}
		list = append(list, maintenance.StartWindow{From: a, To: b})
	}
	return list, nil
}
