package agent

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/maintenance"
)

// Environment variables that are set for the maintenance command.
const (
	envGrant   = "OXBOWBRIDGE_WORK_GRANT" // fencing token of the machine's lease
	envMachine = "OXBOWBRIDGE_WORK_NODE"  // the machine's name
)

const (
	commandKillDelay  = time.Second // maximum wait for the output of a killed command to be closed
	maxOutputInReason = 200         // bytes of a failed command's output that are reported
)

// PerformMaintenance reports that the machine is out and runs the maintenance command, if there is one. It is
// called once the service has drained. It returns whether the service must start again.
func (a *Agent) PerformMaintenance() (restart bool, err error) {
	grant := a.lease.Token
	if err := a.report(maintenance.PhaseReport{Phase: maintenance.PhaseOut, GrantToken: grant}); err != nil {
		// The order stays in draining until the machine returns.
		a.log.Error("could not report that the machine is out", zap.Uint64("grant", grant), zap.Error(err))
	}
	a.release(a.lease) // if this fails, the lease expires
	a.log.Info("machine out of service for maintenance", zap.Uint64("grant", grant))
	if len(a.cfg.Command) == 0 {
		return false, nil
	}
	if err := a.runCommand(grant); err != nil {
		a.log.Error("maintenance command failed", zap.Uint64("grant", grant), zap.Error(err))
		failed := maintenance.PhaseReport{Phase: maintenance.PhaseFailed, GrantToken: grant, Reason: err.Error()}
		return false, errors.Join(err, a.report(failed))
	}
	return true, nil
}

func (a *Agent) report(report maintenance.PhaseReport) error {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	return a.client.ReportPhase(ctx, a.machine.Name, report)
}

// runCommand runs the maintenance command. Its error includes the end of the command's output.
func (a *Agent) runCommand(grant uint64) error {
	timeout := a.cfg.commandTimeout()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	program := a.cfg.Command[0]
	cmd := exec.CommandContext(ctx, program, a.cfg.Command[1:]...)
	cmd.WaitDelay = commandKillDelay
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", envGrant, grant), envMachine+"="+a.machine.Name)
	output, err := cmd.CombinedOutput()
	if ctx.Err() != nil {
		err = fmt.Errorf("not done in %v", timeout)
	}
	if err != nil {
		tail := output[max(0, len(output)-maxOutputInReason):]
		return fmt.Errorf("%s: %w: %s", program, err, strings.TrimSpace(string(tail)))
	}
	return nil
}
