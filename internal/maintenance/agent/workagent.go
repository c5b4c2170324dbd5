// Package agent is one machine's part in an order of work: it says what the machine is,
// leaves when it is its turn and it can prove that it still is, and comes back.
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

	"oxbowbridge/internal/cluster/leaseclient"
	"oxbowbridge/internal/cluster/storeclient"
	"oxbowbridge/internal/maintenance"
	"oxbowbridge/internal/maintenance/controller"
)

// Config sets it up.
type Config struct {
	Nodes               []string `json:"nodes"`      // admin addresses of the store; empty is this service's own
	Zone                string   `json:"zone"`       // what fails together with it
	Speed               float64  `json:"speed"`      // of a core, against others'; 0 is 1
	HeartbeatIntervalMS int64    `json:"every_ms"`   // between two signs of life; 0 is 2000
	Command             []string `json:"command"`    // run while the machine is out, after which it comes back by itself
	CommandTimeoutMS    int64    `json:"command_ms"` // for which the command may run; 0 is 10 minutes
}

const (
	everyDefault   = 2 * time.Second
	commandDefault = 10 * time.Minute
	leaseTTL       = 10 * time.Second
	sayTime        = 10 * time.Second // for one word to the store, asked again
	tailMost       = 200              // bytes of a failed command's output in its reason
)

// Validate names the field at fault.
func (c *Config) Validate() error {
	switch {
	case c.HeartbeatIntervalMS != 0 && (c.HeartbeatIntervalMS < 50 || c.HeartbeatIntervalMS > 600_000):
		return errors.New("every_ms: want 50 to 600000")
	case c.Speed < 0:
		return errors.New("speed: below 0")
	case c.CommandTimeoutMS < 0:
		return errors.New("command_ms: below 0")
	case len(c.Command) > 0 && c.Command[0] == "":
		return errors.New("command: no program")
	}
	return nil
}

// Service is what the agent needs of the one that it is a part of.
type Service interface {
	// Gauge is the share of its cores in use, if that is known, and whether it is warm.
	Utilization() (busy float64, known, warm bool)
	// Leave has it take nothing new and end all that it has, as on SIGTERM.
	StartDrain()
}

// Agent is one machine's.
type Agent struct {
	cfg     Config
	name    string
	cores   float64
	voter   bool
	service Service
	client  *storeclient.Client
	keeper  *leaseclient.Manager
	log     *zap.Logger
	held    *leaseclient.Lease // under which it has confirmed that it leaves
	grant   uint64             // of the job that it came back from
	number  uint64
}

// New is one for a service; own is its store's admin address, if it has one.
func New(cfg Config, name string, cores float64, own string, s Service, log *zap.Logger) *Agent {
	nodes := cfg.Nodes
	if len(nodes) == 0 {
		nodes = []string{own}
	}
	if cfg.Speed == 0 {
		cfg.Speed = 1
	}
	return &Agent{cfg: cfg, name: name, cores: cores, voter: own != "", service: s, log: log, client: storeclient.New(nodes),
		keeper: leaseclient.New(nodes, leaseclient.NewHolderName()), number: uint64(time.Now().UnixNano())}
}

func (a *Agent) every() time.Duration {
	if a.cfg.HeartbeatIntervalMS == 0 {
		return everyDefault
	}
	return time.Duration(a.cfg.HeartbeatIntervalMS) * time.Millisecond
}

// Run says what the machine is until ctx ends or it leaves; true is that it has confirmed
// a grant, and Leave was called.
func (a *Agent) Run(ctx context.Context) (leaving bool) {
	tick := time.NewTicker(a.every())
	defer tick.Stop()
	away := false
	for {
		j, err := a.beat(ctx)
		switch {
		case err != nil && ctx.Err() == nil && !away:
			away = true
			a.log.Warn("work: the store is not reached; this machine does not go", zap.Error(err))
		case err == nil && away:
			away = false
			a.log.Info("work: the store is reached again")
		}
		if err == nil && j != nil {
			if err := a.act(ctx, j); err != nil && ctx.Err() == nil {
				a.log.Warn("work: turn not taken", zap.Error(err))
			}
			if a.held != nil {
				a.service.StartDrain()
				return true
			}
		}
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
}

// beat says once what the machine is, and hears of its job.
func (a *Agent) beat(ctx context.Context) (*maintenance.Order, error) {
	busy, known, warm := a.service.Utilization()
	a.number++
	b := maintenance.Heartbeat{IntervalMS: a.every().Milliseconds(), Sequence: a.number, GrantToken: a.grant}
	b.Machine = maintenance.Machine{Name: a.name, Zone: a.cfg.Zone, Cores: a.cores, Speed: a.cfg.Speed, State: maintenance.MachineWarmingUp, Utilization: busy, Voter: a.voter}
	if warm {
		b.State = maintenance.MachineInService
	}
	if !known {
		b.Utilization = 1
	}
	ctx, cancel := context.WithTimeout(ctx, max(a.every(), 2*time.Second))
	defer cancel()
	return a.client.SendHeartbeat(ctx, b)
}

// act does what the job asks for next.
func (a *Agent) act(ctx context.Context, j *maintenance.Order) error {
	switch j.Phase {
	case maintenance.PhaseGranted:
		return a.confirm(ctx)
	case maintenance.PhaseDraining, maintenance.PhaseOut, maintenance.PhaseFailed:
		// This process has not left by this job: it is one that came after.
		if err := a.client.ReportPhase(ctx, a.name, maintenance.PhaseReport{Phase: maintenance.PhaseReturned, GrantToken: j.GrantToken}); err != nil {
			return err
		}
		a.log.Info("work: back", zap.Uint64("grant", j.GrantToken))
		a.grant = j.GrantToken
	case maintenance.PhaseReturned: // also after an answer that was lost
		a.grant = j.GrantToken
	}
	return nil
}

// confirm takes the machine's lease, and leaves under its token if the grant is still there.
func (a *Agent) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sayTime)
	defer cancel()
	h, err := a.keeper.Acquire(ctx, leaseclient.AcquireOptions{Name: controller.MachineLeasePrefix + a.name, TTL: leaseTTL})
	if err != nil {
		return fmt.Errorf("lease of this machine: %w", err)
	}
	if err := a.client.ReportPhase(ctx, a.name, maintenance.PhaseReport{Phase: maintenance.PhaseDraining, GrantToken: h.Token}); err != nil {
		// It may have been heard all the same: then it says that it is back.
		give, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		return errors.Join(err, h.Release(give, ""))
	}
	a.log.Info("work: this machine leaves", zap.Uint64("grant", h.Token))
	a.held = h
	return nil
}

// PerformMaintenance says that the machine is out, once all that it had has ended, and runs the command if
// there is one. It tells whether the service is to start again.
func (a *Agent) PerformMaintenance() (again bool, err error) {
	grant := a.held.Token
	if err := a.say(maintenance.PhaseReport{Phase: maintenance.PhaseOut, GrantToken: grant}); err != nil {
		a.log.Error("work: out, and the store does not know it", zap.Error(err)) // the order counts it as draining
	}
	give, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	a.held.Release(give, "")
	a.log.Info("work: out", zap.Uint64("grant", grant))
	if len(a.cfg.Command) == 0 {
		return false, nil
	}
	if err := a.command(grant); err != nil {
		a.log.Error("work: command failed", zap.Error(err))
		return false, errors.Join(err, a.say(maintenance.PhaseReport{Phase: maintenance.PhaseFailed, GrantToken: grant, Reason: err.Error()}))
	}
	return true, nil
}

func (a *Agent) say(r maintenance.PhaseReport) error {
	ctx, cancel := context.WithTimeout(context.Background(), sayTime)
	defer cancel()
	return a.client.ReportPhase(ctx, a.name, r)
}

// command runs what is done while the machine is out.
func (a *Agent) command(grant uint64) error {
	most := commandDefault
	if a.cfg.CommandTimeoutMS > 0 {
		most = time.Duration(a.cfg.CommandTimeoutMS) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	c := exec.CommandContext(ctx, a.cfg.Command[0], a.cfg.Command[1:]...)
	c.WaitDelay = time.Second
	c.Env = append(os.Environ(), fmt.Sprint("OXBOWBRIDGE_WORK_GRANT=", grant), "OXBOWBRIDGE_WORK_NODE="+a.name)
	out, err := c.CombinedOutput()
	if ctx.Err() != nil {
		err = fmt.Errorf("not done in %v", most)
	}
	if err != nil {
		tail := strings.TrimSpace(string(out[max(0, len(out)-tailMost):]))
		return fmt.Errorf("%s: %w: %s", a.cfg.Command[0], err, tail)
	}
	return nil
}

// Close ends it.
func (a *Agent) Close() { a.keeper.Close() }
