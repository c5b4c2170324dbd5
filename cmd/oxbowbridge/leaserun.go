package main

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/leaseclient"
)

// What a command that runs under a lease finds in its environment.
const (
	envToken = "OXBOWBRIDGE_LEASE_TOKEN"
	envName  = "OXBOWBRIDGE_LEASE_NAME"
)

const (
	releaseTime = 2 * time.Second
	guardTime   = time.Second // for the guard to end
)

// run takes a lease, runs a command, and stops it in time if the lease can't be kept.
func (s *leaseCLI) run(c *cobra.Command, args []string) error {
	if err := s.runs.checked(args[0]); err != nil {
		return err
	}
	s.grace = cmp.Or(s.grace, s.runs.ttl/5)
	if s.grace < 0 || s.grace > s.runs.ttl/4 {
		return usageError(fmt.Errorf("--grace: want at most a quarter of --ttl, %v", s.runs.ttl/4))
	}
	path, err := exec.LookPath(args[1])
	if err != nil {
		return usageError(err)
	}
	// The command is killed with the thread that started it.
	runtime.LockOSThread()
	told := make(chan os.Signal, 4)
	signal.Notify(told, os.Interrupt, syscall.SIGTERM)
	k := leaseclient.New(s.nodes, s.runs.named())
	defer k.Close()
	h, err := s.obtain(c.Context(), k, args[0], told)
	if err != nil {
		return err
	}
	g, err := startGuard(h.Deadline())
	if err != nil {
		return err
	}
	cmd := exec.Command(path, args[2:]...)
	cmd.Args[0] = args[1]
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, c.OutOrStdout(), c.ErrOrStderr()
	cmd.Env = append(os.Environ(), envToken+"="+strconv.FormatUint(h.Token, 10), envName+"="+h.Name)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		g.done()
		return fmt.Errorf("start %s: %w", args[1], err)
	}
	g.watch(cmd.Process.Pid)
	why := s.tend(cmd, h, g, told)
	g.done()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTime)
	defer cancel()
	if err := h.Release(ctx, ""); err != nil {
		fmt.Fprintln(c.ErrOrStderr(), "oxbowbridge: lease not given back, it ends by itself:", err)
	}
	if why != nil {
		fmt.Fprintln(c.ErrOrStderr(), "oxbowbridge: command stopped:", why)
	}
	code := cmd.ProcessState.ExitCode()
	if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		code = 128 + int(status.Signal())
	}
	if code != 0 {
		return &exitError{code, fmt.Errorf("%s: %v", args[1], cmd.ProcessState)}
	}
	return nil
}

// obtain waits for the lease as --wait says, and no longer than until a signal.
func (s *leaseCLI) obtain(ctx context.Context, k *leaseclient.Manager, name string, told <-chan os.Signal) (*leaseclient.Lease, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if s.runs.wait > 0 {
		ctx, cancel = context.WithTimeout(ctx, s.runs.wait)
		defer cancel()
	}
	got := make(chan struct{})
	defer close(got)
	go func() {
		select {
		case <-told:
			cancel()
		case <-got:
		}
	}()
	h, err := k.Acquire(ctx, leaseclient.AcquireOptions{Name: name, TTL: s.runs.ttl, Priority: s.runs.priority, Wait: s.runs.wait != 0})
	if errors.Is(err, context.DeadlineExceeded) {
		err = fmt.Errorf("%w for all of %v", lease.ErrHeld, s.runs.wait)
	}
	return h, err
}

// tend waits for the command's end, and stops it when the lease can't be kept, or when
// this process is told to end. It says why.
func (s *leaseCLI) tend(cmd *exec.Cmd, h *leaseclient.Lease, g *guard, told <-chan os.Signal) (why error) {
	ended := make(chan struct{})
	go func() { cmd.Wait(); close(ended) }()
	group := func(sig syscall.Signal) { syscall.Kill(-cmd.Process.Pid, sig) }
	until := h.Deadline()
	last := until // when it is killed, once it was told to end
	look := time.NewTicker(max(s.runs.ttl/50, 5*time.Millisecond))
	defer look.Stop()
	lost := h.Context().Done()
	for {
		select {
		case <-ended:
			return why
		case sig := <-told:
			group(sig.(syscall.Signal))
			continue
		case <-lost:
			lost = nil
			if why == nil { // its time, as far as it was known, is what is left
				why = context.Cause(h.Context())
				group(syscall.SIGTERM)
			}
		case <-look.C:
		}
		now := time.Now()
		if lost != nil {
			if u := h.Deadline(); u.After(until) {
				until = u
				g.until(u)
			}
			if why == nil {
				last = until
			}
		}
		if why == nil && !now.Before(until.Add(-s.grace)) {
			why = fmt.Errorf("%w: %s", leaseclient.ErrExpired, h.Name)
			group(syscall.SIGTERM)
		}
		if why != nil && !now.Before(last) {
			group(syscall.SIGKILL)
		}
	}
}

// guard is a second process that kills the command when the lease is over, should this
// one stand still, or be killed: it needs no answer from anybody.
type guard struct {
	cmd *exec.Cmd
	in  io.WriteCloser
}

func startGuard(until time.Time) (*guard, error) {
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	g := &guard{cmd: exec.Command(own, "lease", "guard")}
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if g.in, err = g.cmd.StdinPipe(); err == nil {
		err = g.cmd.Start()
	}
	if err != nil {
		return nil, fmt.Errorf("start guard: %w", err)
	}
	g.until(until)
	return g, nil
}

func (g *guard) watch(pid int) { fmt.Fprintln(g.in, "pid", pid) }

// until tells it the end by the clock that all processes share.
func (g *guard) until(t time.Time) {
	if now, err := clock(); err == nil {
		fmt.Fprintln(g.in, "until", now+time.Until(t).Nanoseconds())
	}
}

func (g *guard) done() {
	fmt.Fprintln(g.in, "done")
	g.in.Close()
	late := time.AfterFunc(guardTime, func() { g.cmd.Process.Kill() }) // it may stand still
	g.cmd.Wait()
	late.Stop()
}

// clock is the machine's monotonic one, in nanoseconds.
func clock() (int64, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	return ts.Nano(), err
}

func guardCommand() *cobra.Command {
	return &cobra.Command{Use: "guard", Hidden: true, Args: noArgs, RunE: func(c *cobra.Command, _ []string) error {
		signal.Ignore(os.Interrupt, syscall.SIGTERM)
		return guarding(c.InOrStdin())
	}}
}

// guarding kills the process group that it is told of when the time that it is told is
// over, or when its other end is gone before it said that all is done.
func guarding(in io.Reader) error {
	lines := make(chan string)
	go func() {
		defer close(lines)
		for r := bufio.NewScanner(in); r.Scan(); {
			lines <- r.Text()
		}
	}()
	pid, until := 0, int64(0)
	kill := func() {
		if pid > 1 {
			syscall.Kill(-pid, syscall.SIGKILL)
		}
	}
	// take reads a line, and tells whether that was the end.
	take := func(line string, ok bool) bool {
		if !ok {
			kill()
			return true
		}
		if n, _ := fmt.Sscanf(line, "pid %d", &pid); n == 0 {
			fmt.Sscanf(line, "until %d", &until)
		}
		return line == "done"
	}
	for {
		now, err := clock()
		if err != nil {
			kill()
			return err
		}
		select { // what was said goes first: this process may have stood still
		case line, ok := <-lines:
			if take(line, ok) {
				return nil
			}
			continue
		case <-time.After(10 * time.Millisecond):
		}
		if until > 0 && now >= until {
			kill() // again and again, until the command is gone
		}
	}
}
