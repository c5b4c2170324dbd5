package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/leaseclient"
	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/cluster/storeclient"
)

// leaseCLI is the flags of the sub-commands of lease.
type leaseCLI struct {
	nodes          []string
	asJSON         bool
	acquireOptions leaseOptions // of acquire
	runOptions     leaseOptions // of run
	token          uint64       // of release
	to             string       // of release: a waiter's holder name
	grace          time.Duration
}

// Values of --wait that are no limit.
const (
	noWait      time.Duration = 0
	waitForever time.Duration = -1
)

// leaseOptions is what a lease is acquired with.
type leaseOptions struct {
	ttl      time.Duration
	wait     time.Duration // for a lease that another holder has: noWait, waitForever or any other negative, or a limit
	holder   string
	priority int
}

// addFlags adds the options as flags of a command.
func (o *leaseOptions) addFlags(c *cobra.Command, defaultTTL, defaultWait time.Duration, waitUsage string) {
	c.Flags().DurationVar(&o.ttl, "ttl", defaultTTL, "how long the lease goes on without a sign of its holder")
	c.Flags().DurationVar(&o.wait, "wait", defaultWait, waitUsage)
	c.Flags().IntVar(&o.priority, "priority", 0, "among those who wait, higher goes first")
	c.Flags().StringVar(&o.holder, "holder", "", "a name that nobody else goes by; by default one of this process")
}

// holderName returns --holder, or a name of this process.
func (o *leaseOptions) holderName() string {
	if o.holder == "" {
		o.holder = leaseclient.NewHolderName()
	}
	return o.holder
}

// validate checks what no store accepts. Its error is one of the arguments.
func (o *leaseOptions) validate(name string) error {
	return usageError(lease.Validate(name, o.holderName(), o.ttl.Milliseconds()))
}

func leaseCommand() *cobra.Command {
	s := &leaseCLI{}
	c, add := nodesCommand("lease", "Leases of the replicated store: one holder acts at a time", &s.nodes, &s.asJSON)
	add("list", "Show all leases that are held, and who waits for them", cobra.NoArgs, s.list)
	add("show NAME", "Show one", cobra.ExactArgs(1), s.show)
	acquire := add("acquire NAME", "Take a lease, once: nothing keeps it alive", cobra.ExactArgs(1), s.acquire)
	s.acquireOptions.addFlags(acquire, 5*time.Second, noWait, "for which to wait if another has it, up to 30s")
	release := add("release NAME", "Give a lease back", cobra.ExactArgs(1), s.release)
	release.Flags().Uint64Var(&s.token, "token", 0, "under which it is held")
	release.Flags().StringVar(&s.to, "to", "", "the one who is to have it, of those who wait")
	add("revoke NAME", "Have a lease go on no further than the time that its holder was given", cobra.ExactArgs(1), s.revoke)
	run := add("run NAME -- COMMAND ARGS", "Run a command while holding a lease, and stop it before the lease is over", cobra.MinimumNArgs(2), s.run)
	s.runOptions.addFlags(run, 10*time.Second, waitForever, "for which to wait if another has it; by default for as long as it takes")
	run.Flags().DurationVar(&s.grace, "grace", 0, "between SIGTERM and SIGKILL, which comes before the lease is over; by default a fifth of --ttl")
	c.AddCommand(guardCommand())
	return c
}

func (s *leaseCLI) client() *storeclient.Client { return storeclient.New(s.nodes) }

func (s *leaseCLI) list(c *cobra.Command, _ []string) error {
	leases, err := s.client().ListLeases(c.Context())
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), leases)
	}
	return printLeases(c, leases...)
}

func (s *leaseCLI) show(c *cobra.Command, args []string) error {
	status, err := s.client().GetLease(c.Context(), args[0])
	if err != nil {
		return err
	}
	return s.printLease(c, status)
}

func (s *leaseCLI) acquire(c *cobra.Command, args []string) error {
	options := &s.acquireOptions
	if err := options.validate(args[0]); err != nil {
		return err
	}
	if options.wait < 0 || options.wait > storeapi.MaxLeaseWait {
		return usageError(fmt.Errorf("--wait: want 0 to %v", storeapi.MaxLeaseWait))
	}
	status, err := s.client().AcquireLease(c.Context(), args[0], storeapi.AcquireRequest{
		Holder:   options.holderName(),
		TTLMS:    options.ttl.Milliseconds(),
		WaitMS:   options.wait.Milliseconds(),
		Priority: options.priority,
	})
	if err != nil {
		return err
	}
	return s.printLease(c, status)
}

func (s *leaseCLI) release(c *cobra.Command, args []string) error {
	if s.token == 0 {
		return usageError(errors.New("--token: missing"))
	}
	return s.client().ReleaseLease(c.Context(), args[0], s.token, s.to)
}

func (s *leaseCLI) revoke(c *cobra.Command, args []string) error {
	return s.client().RevokeLease(c.Context(), args[0])
}

func (s *leaseCLI) printLease(c *cobra.Command, status storeapi.LeaseStatus) error {
	if s.asJSON {
		return printJSON(c.OutOrStdout(), status)
	}
	return printLeases(c, status)
}

func printLeases(c *cobra.Command, leases ...storeapi.LeaseStatus) error {
	rows := [][]any{{"NAME", "HOLDER", "TOKEN", "TTL", "LEFT", "STATE", "WAITING"}}
	for _, l := range leases {
		remaining := ""
		if l.RemainingMS > 0 {
			remaining = milliseconds(l.RemainingMS).String()
		}
		var waiters []string
		for _, w := range l.Waiters {
			waiters = append(waiters, w.Holder)
		}
		rows = append(rows, []any{l.Name, l.Holder, l.Token, milliseconds(l.TTLMS), remaining, l.Status(), strings.Join(waiters, " ")})
	}
	return printTable(c.OutOrStdout(), rows...)
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
