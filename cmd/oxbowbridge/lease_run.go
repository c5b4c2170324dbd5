package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/leaseclient"
)

// Environment variables that are set for a command that runs under a lease.
const (
	envFencingToken = "OXBOWBRIDGE_LEASE_TOKEN" // the fencing token, a decimal number
	envLeaseName    = "OXBOWBRIDGE_LEASE_NAME"
)

const (
	releaseTimeout      = 2 * time.Second // to query and release the lease; without a release it expires
	defaultGraceDivisor = 5               // --grace is --ttl/5 by default
	maxGraceDivisor     = 4               // --grace is at most --ttl/4
	signalExitCodeBase  = 128             // plus the signal number is the exit code if a signal ended the command
)

// run acquires a lease and runs a command. It stops the command before the lease expires.
func (s *leaseCLI) run(c *cobra.Command, args []string) error {
	name, program := args[0], args[1]
	path, err := s.validateRun(name, program)
	if err != nil {
		return err
	}
	// Pdeathsig kills the command when the thread that started it exits, so that thread is kept.
	runtime.LockOSThread()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	manager := leaseclient.New(s.nodes, s.runOptions.holderName())
	defer manager.Close()
	heldLease, err := s.acquireForRun(c.Context(), manager, name, signals)
	if err != nil {
		return err
	}
	guard, err := startGuard(heldLease.Deadline())
	if err != nil {
		return err
	}
	command := exec.Command(path, args[2:]...)
	command.Args[0] = program
	command.Stdin, command.Stdout, command.Stderr = os.Stdin, c.OutOrStdout(), c.ErrOrStderr()
	command.Env = append(os.Environ(), envFencingToken+"="+strconv.FormatUint(heldLease.Token, 10), envLeaseName+"="+heldLease.Name)
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		guard.stop()
		return fmt.Errorf("start %s: %w", program, err)
	}
	guard.sendPID(command.Process.Pid)
	stopReason := newCommandStopper(command, heldLease, guard, s.gracePeriod).wait(signals, s.runOptions.ttl)
	guard.stop()
	stopReason = releaseAfterRun(c, heldLease, stopReason)
	if stopReason != nil {
		fmt.Fprintln(c.ErrOrStderr(), "oxbowbridge: command stopped:", stopReason)
	}
	return commandError(program, command.ProcessState)
}

// validateRun checks the arguments, sets the default of --grace, and returns the path of the program.
func (s *leaseCLI) validateRun(name, program string) (path string, err error) {
	if err := s.runOptions.validate(name); err != nil {
		return "", err
	}
	ttl := s.runOptions.ttl
	s.gracePeriod = cmp.Or(s.gracePeriod, ttl/defaultGraceDivisor)
	if s.gracePeriod < 0 || s.gracePeriod > ttl/maxGraceDivisor {
		return "", usageError(fmt.Errorf("--grace: want 0 to a quarter of --ttl, %v", ttl/maxGraceDivisor))
	}
	path, err = exec.LookPath(program)
	return path, usageError(err)
}

// acquireForRun acquires the lease. It waits for at most --wait, and stops waiting on a signal.
func (s *leaseCLI) acquireForRun(ctx context.Context, manager *leaseclient.Manager, name string, signals <-chan os.Signal) (*leaseclient.Lease, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	options := s.runOptions
	if options.wait > 0 {
		ctx, cancel = context.WithTimeout(ctx, options.wait)
		defer cancel()
	}
	acquired := make(chan struct{})
	defer close(acquired)
	go func() {
		select {
		case <-signals:
			cancel()
		case <-acquired:
		}
	}()
	heldLease, err := manager.Acquire(ctx, leaseclient.AcquireOptions{
		Name:     name,
		TTL:      options.ttl,
		Priority: options.priority,
		Wait:     options.wait != noWait,
	})
	if errors.Is(err, context.DeadlineExceeded) {
		err = fmt.Errorf("%w after waiting for %v", lease.ErrHeld, options.wait)
	}
	return heldLease, err
}

// releaseAfterRun releases the lease. It returns the reason why the command was stopped, or nil. If the
// lease was not kept alive in time, it adds the current state of the lease in the store to the reason.
func releaseAfterRun(c *cobra.Command, heldLease *leaseclient.Lease, stopReason error) error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if errors.Is(stopReason, leaseclient.ErrExpired) {
		stopReason = withLeaseState(ctx, heldLease, stopReason)
	}
	if err := heldLease.Release(ctx); err != nil {
		fmt.Fprintln(c.ErrOrStderr(), "oxbowbridge: lease not released, it will expire:", err)
	}
	return stopReason
}

// withLeaseState adds the current state of the lease to the reason of a stop that was caused by missing
// replies. A revocation that no keep-alive reply has reported is detected here.
func withLeaseState(ctx context.Context, heldLease *leaseclient.Lease, stopReason error) error {
	err := heldLease.Check(ctx)
	switch {
	case err == nil:
		return stopReason
	case errors.Is(err, leaseclient.ErrLost):
		return fmt.Errorf("%w; %w", stopReason, err)
	}
	return fmt.Errorf("%w; not known whether the lease is still held", stopReason)
}

// commandError returns an error with the exit code of the command, or nil if the command succeeded.
func commandError(program string, state *os.ProcessState) error {
	code := state.ExitCode()
	if status, ok := state.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		code = signalExitCodeBase + int(status.Signal())
	}
	if code == 0 {
		return nil
	}
	return &exitError{code, fmt.Errorf("%s: %v", program, state)}
}
