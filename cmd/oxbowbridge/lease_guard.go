package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"
)

// The lines that a guard reads from its standard input. Its end before guardDone means that the
// other process was killed.
const (
	guardPID      = "pid %d"   // of the command, the leader of its process group
	guardDeadline = "until %d" // of the lease, nanoseconds of CLOCK_MONOTONIC
	guardDone     = "done"     // the command has ended
)

const (
	guardStopTimeout   = time.Second // for the guard to end
	guardCheckInterval = 10 * time.Millisecond
)

// guardProcess is a second process that kills the command at the lease's deadline, should this process be
// suspended or killed. It needs no answer from anybody.
type guardProcess struct {
	process *exec.Cmd
	input   io.WriteCloser
}

func startGuard(deadline time.Time) (*guardProcess, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	g := &guardProcess{process: exec.Command(program, "lease", "guard")}
	g.process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	g.input, err = g.process.StdinPipe()
	if err == nil {
		err = g.process.Start()
	}
	if err != nil {
		return nil, fmt.Errorf("start guard: %w", err)
	}
	g.sendDeadline(deadline)
	return g, nil
}

func (g *guardProcess) sendPID(pid int) { fmt.Fprintf(g.input, guardPID+"\n", pid) }

// sendDeadline sends a deadline by the clock that all processes share.
func (g *guardProcess) sendDeadline(deadline time.Time) {
	if now, err := monotonicNanoseconds(); err == nil {
		fmt.Fprintf(g.input, guardDeadline+"\n", now+time.Until(deadline).Nanoseconds())
	}
}

// stop ends the guard, by force if it is suspended.
func (g *guardProcess) stop() {
	fmt.Fprintln(g.input, guardDone)
	g.input.Close()
	kill := time.AfterFunc(guardStopTimeout, func() { g.process.Process.Kill() })
	g.process.Wait()
	kill.Stop()
}

// monotonicNanoseconds returns the machine's monotonic clock.
func monotonicNanoseconds() (int64, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	return ts.Nano(), err
}

// guardCommand returns the guard's process.
func guardCommand() *cobra.Command {
	return &cobra.Command{Use: "guard", Hidden: true, Args: noArgs, RunE: func(c *cobra.Command, _ []string) error {
		signal.Ignore(os.Interrupt, syscall.SIGTERM)
		return runGuard(c.InOrStdin())
	}}
}

// guardTarget is what a guard knows of the command that it may have to kill.
type guardTarget struct {
	pid      int   // 0 until it is known
	deadline int64 // nanoseconds of CLOCK_MONOTONIC; 0 until it is known
}

// runGuard kills the command at its deadline, or when the input ends before guardDone.
func runGuard(input io.Reader) error {
	lines := make(chan string)
	go func() {
		defer close(lines)
		for scanner := bufio.NewScanner(input); scanner.Scan(); {
			lines <- scanner.Text()
		}
	}()
	var command guardTarget
	for {
		now, err := monotonicNanoseconds()
		if err != nil {
			command.kill()
			return err
		}
		// Lines go first: if this process was suspended, a new deadline may be among them.
		select {
		case line, open := <-lines:
			if !open {
				command.kill()
				return nil
			}
			if line == guardDone {
				return nil
			}
			command.update(line)
			continue
		case <-time.After(guardCheckInterval):
		}
		if command.deadline > 0 && now >= command.deadline {
			command.kill() // again and again, until the command has ended
		}
	}
}

// update reads guardPID or guardDeadline.
func (g *guardTarget) update(line string) {
	if matched, _ := fmt.Sscanf(line, guardPID, &g.pid); matched == 0 {
		fmt.Sscanf(line, guardDeadline, &g.deadline)
	}
}

// kill kills the command's process group, if it is known.
func (g *guardTarget) kill() {
	if g.pid > 1 {
		syscall.Kill(-g.pid, syscall.SIGKILL)
	}
}
