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

// leaseCLI is what the sub-commands of lease share.
type leaseCLI struct {
	nodes  []string
	asJSON bool
	once   asking // of acquire
	runs   asking // of run
	token  uint64
	to     string
	grace  time.Duration
}

// asking is what a lease is asked for with.
type asking struct {
	ttl      time.Duration
	wait     time.Duration
	holder   string
	priority int
}

func leaseCommand() *cobra.Command {
	s := &leaseCLI{}
	c, add := nodesCommand("lease", "Leases of the replicated store: one holder acts at a time", &s.nodes, &s.asJSON)
	asks := func(sub *cobra.Command, a *asking, ttl, wait time.Duration, waits string) {
		sub.Flags().DurationVar(&a.ttl, "ttl", ttl, "how long the lease goes on without a sign of its holder")
		sub.Flags().DurationVar(&a.wait, "wait", wait, waits)
		sub.Flags().IntVar(&a.priority, "priority", 0, "among those who wait, higher goes first")
		sub.Flags().StringVar(&a.holder, "holder", "", "a name that nobody else goes by; by default one of this process")
	}
	add("list", "Show all leases that are held, and who waits for them", cobra.NoArgs, s.list)
	add("show NAME", "Show one", cobra.ExactArgs(1), s.show)
	asks(add("acquire NAME", "Take a lease, once: nothing keeps it alive", cobra.ExactArgs(1), s.acquire),
		&s.once, 5*time.Second, 0, "for which to wait if another has it, up to 30s")
	release := add("release NAME", "Give a lease back", cobra.ExactArgs(1), s.release)
	release.Flags().Uint64Var(&s.token, "token", 0, "under which it is held")
	release.Flags().StringVar(&s.to, "to", "", "the one who is to have it, of those who wait")
	add("revoke NAME", "Have a lease go on no further than the time that its holder was given", cobra.ExactArgs(1), s.revoke)
	run := add("run NAME -- COMMAND ARGS", "Run a command while holding a lease, and stop it before the lease is over", cobra.MinimumNArgs(2), s.run)
	asks(run, &s.runs, 10*time.Second, -1, "for which to wait if another has it; by default for as long as it takes")
	run.Flags().DurationVar(&s.grace, "grace", 0, "between SIGTERM and SIGKILL, which comes before the lease is over; by default a fifth of --ttl")
	c.AddCommand(guardCommand())
	return c
}

func (s *leaseCLI) client() *storeclient.Client { return storeclient.New(s.nodes) }

// named is the holder's name.
func (a *asking) named() string {
	if a.holder == "" {
		a.holder = leaseclient.NewHolderName()
	}
	return a.holder
}

// checked is a bad call for what no store would take.
func (a *asking) checked(name string) error {
	return usageError(lease.Validate(name, a.named(), a.ttl.Milliseconds()))
}

func (s *leaseCLI) print(c *cobra.Command, list ...storeapi.LeaseStatus) error {
	rows := [][]any{{"NAME", "HOLDER", "TOKEN", "TTL", "LEFT", "STATE", "WAITING"}}
	for _, l := range list {
		state, left := "held", ""
		if l.Revoked {
			state = "revoked"
		}
		if l.RemainingMS > 0 {
			left = (time.Duration(l.RemainingMS) * time.Millisecond).String()
		}
		var queue []string
		for _, w := range l.Waiters {
			queue = append(queue, w.Holder)
		}
		rows = append(rows, []any{l.Name, l.Holder, l.Token, time.Duration(l.TTLMS) * time.Millisecond, left, state, strings.Join(queue, " ")})
	}
	return table(c.OutOrStdout(), rows...)
}

func (s *leaseCLI) list(c *cobra.Command, _ []string) error {
	list, err := s.client().ListLeases(c.Context())
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), list)
	}
	return s.print(c, list...)
}

func (s *leaseCLI) show(c *cobra.Command, args []string) error {
	l, err := s.client().GetLease(c.Context(), args[0])
	return s.one(c, l, err)
}

func (s *leaseCLI) one(c *cobra.Command, l storeapi.LeaseStatus, err error) error {
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), l)
	}
	return s.print(c, l)
}

func (s *leaseCLI) acquire(c *cobra.Command, args []string) error {
	if err := s.once.checked(args[0]); err != nil {
		return err
	}
	if s.once.wait < 0 || s.once.wait > storeapi.MaxLeaseWait {
		return usageError(fmt.Errorf("--wait: want 0 to %v", storeapi.MaxLeaseWait))
	}
	l, err := s.client().AcquireLease(c.Context(), args[0], storeapi.AcquireRequest{Holder: s.once.named(), TTLMS: s.once.ttl.Milliseconds(),
		WaitMS: s.once.wait.Milliseconds(), Priority: s.once.priority})
	return s.one(c, l, err)
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
