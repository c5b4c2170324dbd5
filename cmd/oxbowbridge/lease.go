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

// leaseCLI holds the flags of the subcommands of "lease".
type leaseCLI struct {
	nodes          []string
	asJSON         bool
	acquireOptions leaseOptions  // of acquire
	runOptions     leaseOptions  // of run
	releaseToken   uint64        // of release
	nextHolder     string        // of release: holder name of a waiter
	gracePeriod    time.Duration // of run
}

// Values of --wait that are not a time limit.
const (
	noWait      time.Duration = 0
	waitForever time.Duration = -1
)

// leaseOptions are the flags for acquiring a lease.
type leaseOptions struct {
	ttl      time.Duration
	wait     time.Duration // time limit if another holder has the lease; noWait, or waitForever and any other negative value
	holder   string
	priority int
}

// addFlags adds the options as flags of a command.
func (o *leaseOptions) addFlags(c *cobra.Command, defaultTTL, defaultWait time.Duration, waitUsage string) {
	c.Flags().DurationVar(&o.ttl, "ttl", defaultTTL, "time after which the lease expires without a keep-alive from its holder")
	c.Flags().DurationVar(&o.wait, "wait", defaultWait, waitUsage)
	c.Flags().IntVar(&o.priority, "priority", 0, "among waiters, a higher priority is granted first")
	c.Flags().StringVar(&o.holder, "holder", "", "unique holder name; by default a new name for this process")
}

// holderName returns --holder, or a generated name for this process.
func (o *leaseOptions) holderName() string {
	if o.holder == "" {
		o.holder = leaseclient.NewHolderName()
	}
	return o.holder
}

// validate checks the lease name and the flags. It returns a usage error.
func (o *leaseOptions) validate(name string) error {
	return usageError(lease.Validate(name, o.holderName(), o.ttl.Milliseconds()))
}

func leaseCommand() *cobra.Command {
	s := &leaseCLI{}
	c, add := adminClientCommand("lease", "Leases of the replicated store: one holder at a time", &s.nodes, &s.asJSON)
	add("list", "Show all held leases and their waiters", cobra.NoArgs, s.list)
	add("show NAME", "Show a lease", cobra.ExactArgs(1), s.show)
	acquire := add("acquire NAME", "Acquire a lease, without sending keep-alives for it", cobra.ExactArgs(1), s.acquire)
	s.acquireOptions.addFlags(acquire, 5*time.Second, noWait, "how long to wait if another holder has the lease, up to 30s")
	release := add("release NAME", "Release a lease", cobra.ExactArgs(1), s.release)
	release.Flags().Uint64Var(&s.releaseToken, "token", 0, "fencing token of the lease")
	release.Flags().StringVar(&s.nextHolder, "to", "", "holder name of the waiter that gets the lease next")
	add("revoke NAME", "Revoke a lease: reject further keep-alives, so that it expires at the end of its TTL", cobra.ExactArgs(1), s.revoke)
	run := add("run NAME -- COMMAND ARGS", "Run a command while holding a lease, and stop it before the lease expires", cobra.MinimumNArgs(2), s.run)
	s.runOptions.addFlags(run, 10*time.Second, waitForever, "how long to wait if another holder has the lease; by default without limit")
	run.Flags().DurationVar(&s.gracePeriod, "grace", 0, "time between SIGTERM and SIGKILL, which is sent before the lease expires; by default a fifth of --ttl")
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
	if s.releaseToken == 0 {
		return usageError(errors.New("--token: missing"))
	}
	return s.client().ReleaseLease(c.Context(), args[0], s.releaseToken, s.nextHolder)
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
