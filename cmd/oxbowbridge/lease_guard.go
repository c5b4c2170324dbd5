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

// Lines that the guard reads from its standard input. If the input ends before guardDoneLine, the process
// that started the guard was killed.
const (
	guardPIDLine      = "pid %d"   // process id of the command, which leads its process group
	guardDeadlineLine = "until %d" // deadline of the lease, nanoseconds of CLOCK_MONOTONIC
	guardDoneLine     = "done"     // the command has exited
)

const (
	guardStopTimeout   = time.Second // time for the guard to exit after guardDoneLine
	guardCheckInterval = 10 * time.Millisecond
)

// guardProcess is a second process that kills the command at the deadline of the lease, in case this
// process is suspended or killed. It does not depend on replies from the store or from this process.
type guardProcess struct {
	process *exec.Cmd
	input   io.WriteCloser
}

// startGuard starts a guard and sends it the deadline.
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
		return nil, fmt.Errorf("start guard process: %w", err)
	}
	g.sendDeadline(deadline)
	return g, nil
}

func (g *guardProcess) sendPID(pid int) { fmt.Fprintf(g.input, guardPIDLine+"\n", pid) }

// sendDeadline sends a deadline as a time of CLOCK_MONOTONIC, which all processes share.
func (g *guardProcess) sendDeadline(deadline time.Time) {
	if now, err := monotonicNanoseconds(); err == nil {
		fmt.Fprintf(g.input, guardDeadlineLine+"\n", now+time.Until(deadline).Nanoseconds())
	}
}

// stop ends the guard, and kills a guard that does not exit within guardStopTimeout, for example because
// it is suspended.
func (g *guardProcess) stop() {
	fmt.Fprintln(g.input, guardDoneLine)
	g.input.Close()
	kill := time.AfterFunc(guardStopTimeout, func() { g.process.Process.Kill() })
	g.process.Wait()
	kill.Stop()
}

// monotonicNanoseconds returns the time of CLOCK_MONOTONIC.
func monotonicNanoseconds() (int64, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	return ts.Nano(), err
}

// guardCommand returns the hidden command that runs a guard.
func guardCommand() *cobra.Command {
	return &cobra.Command{Use: "guard", Hidden: true, Args: noArgs, RunE: func(c *cobra.Command, _ []string) error {
		signal.Ignore(os.Interrupt, syscall.SIGTERM)
		return runGuard(c.InOrStdin())
	}}
}

// guardTarget is the command that a guard kills at the deadline.
type guardTarget struct {
	pid      int   // 0 until it is received
	deadline int64 // nanoseconds of CLOCK_MONOTONIC; 0 until it is received
}

// runGuard kills the command at the deadline, or when the input ends before guardDoneLine.
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
		// Pending lines are read before the deadline is checked: if this process was suspended, they
		// may contain a new deadline.
		select {
		case line, open := <-lines:
			if !open {
				command.kill()
				return nil
			}
			if line == guardDoneLine {
				return nil
			}
			command.update(line)
			continue
		case <-time.After(guardCheckInterval):
		}
		if command.deadline > 0 && now >= command.deadline {
			command.kill() // repeated until guardDoneLine is received
		}
	}
}

// update parses a guardPIDLine or a guardDeadlineLine.
func (g *guardTarget) update(line string) {
	if matched, _ := fmt.Sscanf(line, guardPIDLine, &g.pid); matched == 0 {
		fmt.Sscanf(line, guardDeadlineLine, &g.deadline)
	}
}

// kill kills the command's process group. It does nothing until the process id is known.
func (g *guardTarget) kill() {
	if g.pid > 1 {
		syscall.Kill(-g.pid, syscall.SIGKILL)
	}
}
