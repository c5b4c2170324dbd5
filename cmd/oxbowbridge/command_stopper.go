package main

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"time"

	"oxbowbridge/internal/cluster/leaseclient"
)

// commandStopper stops a command before its lease expires: it sends SIGTERM when --grace remains before
// the deadline of the lease, and SIGKILL at the deadline.
type commandStopper struct {
	command     *exec.Cmd
	lease       *leaseclient.Lease
	guard       *guardProcess
	gracePeriod time.Duration
	deadline    time.Time // last known deadline of the lease
	killAt      time.Time // the lease deadline that was known when SIGTERM was sent
	stopReason  error     // nil until SIGTERM is sent
}

func newCommandStopper(command *exec.Cmd, lease *leaseclient.Lease, guard *guardProcess, gracePeriod time.Duration) *commandStopper {
	deadline := lease.Deadline()
	return &commandStopper{command: command, lease: lease, guard: guard, gracePeriod: gracePeriod, deadline: deadline, killAt: deadline}
}

// wait waits until the command exits, and stops it when the lease is lost or close to its deadline. It
// forwards signals to the command. It returns the reason why the command was stopped, or nil.
func (s *commandStopper) wait(signals <-chan os.Signal, ttl time.Duration) error {
	const (
		checksPerTTL     = 50
		minCheckInterval = 5 * time.Millisecond
	)
	exited := make(chan struct{})
	go func() {
		s.command.Wait()
		close(exited)
	}()
	check := time.NewTicker(max(ttl/checksPerTTL, minCheckInterval))
	defer check.Stop()
	leaseEnded := s.lease.Context().Done()
	for {
		select {
		case <-exited:
			return s.stopReason
		case received := <-signals:
			s.signal(received.(syscall.Signal))
			continue
		case <-leaseEnded:
			leaseEnded = nil
			s.stop(context.Cause(s.lease.Context())) // SIGKILL follows at the last known deadline
		case <-check.C:
		}
		if leaseEnded != nil {
			s.refreshDeadline()
		}
		s.enforceDeadline(time.Now())
	}
}

// refreshDeadline adopts a deadline that keep-alives have extended. After SIGTERM was sent, the time of
// SIGKILL no longer changes.
func (s *commandStopper) refreshDeadline() {
	if deadline := s.lease.Deadline(); deadline.After(s.deadline) {
		s.deadline = deadline
		s.guard.sendDeadline(deadline)
	}
	if s.stopReason == nil {
		s.killAt = s.deadline
	}
}

// enforceDeadline sends SIGTERM or SIGKILL to the command if it is due.
func (s *commandStopper) enforceDeadline(now time.Time) {
	if !now.Before(s.deadline.Add(-s.gracePeriod)) {
		s.stop(s.leaseEndReason())
	}
	if s.stopReason != nil && !now.Before(s.killAt) {
		s.signal(syscall.SIGKILL)
	}
}

// leaseEndReason returns the error that ended the lease, or the lease's ExpiredError if no keep-alive
// succeeded in time.
func (s *commandStopper) leaseEndReason() error {
	if s.lease.Context().Err() != nil {
		return context.Cause(s.lease.Context())
	}
	return s.lease.ExpiredError()
}

// stop sends SIGTERM to the command and records the reason. Later calls do nothing.
func (s *commandStopper) stop(reason error) {
	if s.stopReason == nil {
		s.stopReason = reason
		s.signal(syscall.SIGTERM)
	}
}

// signal sends a signal to the command's process group.
func (s *commandStopper) signal(sig syscall.Signal) { syscall.Kill(-s.command.Process.Pid, sig) }
