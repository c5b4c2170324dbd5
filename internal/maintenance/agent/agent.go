// Package agent takes one machine through its maintenance. It sends heartbeats. When the machine's
// order is granted, it acquires the machine's lease, confirms the grant under the lease's fencing token
// and starts a graceful shutdown of the service. Then it reports that the machine is out and runs the
// maintenance command. The process that starts afterwards reports that the machine has returned.
package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/leaseclient"
	"oxbowbridge/internal/cluster/storeclient"
	"oxbowbridge/internal/maintenance"
	"oxbowbridge/internal/maintenance/controller"
)

const (
	machineLeaseTTL     = 10 * time.Second
	reportTimeout       = 10 * time.Second // timeout of one report, including retries
	releaseTimeout      = time.Second      // timeout for releasing the machine's lease, which otherwise expires
	minHeartbeatTimeout = 2 * time.Second  // minimum timeout of one heartbeat; the heartbeat interval applies if it is longer
	unknownUtilization  = 1                // an unknown utilization counts as full
)

// Service is the service on the machine, as far as the agent needs it.
type Service interface {
	// Load returns the current load of the service.
	Load() Load
	// StartDrain starts a graceful shutdown of the service, as on SIGTERM.
	StartDrain()
}

// Load is the load and the state of a service.
type Load struct {
	Utilization float64 // fraction of the service's cores in use, from 0 to 1
	Known       bool    // Utilization has been measured
	Warm        bool    // the service has warmed up
	Learner     bool    // the service's node of the store is a learner
}

// Agent is the maintenance agent of one machine.
type Agent struct {
	cfg     Config
	machine maintenance.Machine // only the fields that don't change between heartbeats
	service Service
	client  *storeclient.Client
	leases  *leaseclient.Manager
	log     *zap.Logger

	lease         *leaseclient.Lease // the machine's lease; nil until the machine has confirmed a grant
	returnedGrant uint64             // token of the grant that the machine has returned from
	sequence      uint64             // sequence number of the last heartbeat
	unreachable   bool               // the last heartbeat did not reach the store
}

// New returns the agent of a machine. localNode is the admin address of the service's own node of the store,
// or "" if it has none. Close ends the agent.
func New(cfg Config, name string, cores float64, localNode string, service Service, log *zap.Logger) *Agent {
	nodes := cfg.Nodes
	if len(nodes) == 0 {
		nodes = []string{localNode}
	}
	machine := maintenance.Machine{
		Name:    name,
		Zone:    cfg.Zone,
		Cores:   cores,
		Speed:   cfg.speed(),
		IsVoter: localNode != "",
	}
	return &Agent{
		cfg:      cfg,
		machine:  machine,
		service:  service,
		client:   storeclient.New(nodes),
		leases:   leaseclient.New(nodes, leaseclient.NewHolderName()),
		log:      log,
		sequence: uint64(time.Now().UnixNano()), // differs from the sequence numbers of an earlier process
	}
}

// Close releases the machine's lease, if the agent holds it, and stops its renewal.
func (a *Agent) Close() { a.leases.Close() }

// Run sends heartbeats until ctx ends or the machine confirms a grant. It returns true if a grant was
// confirmed; the service's graceful shutdown has then started.
func (a *Agent) Run(ctx context.Context) (leaving bool) {
	tick := time.NewTicker(a.cfg.heartbeatInterval())
	defer tick.Stop()
	for {
		order, err := a.sendHeartbeat(ctx)
		a.logReachability(ctx, err)
		if err == nil && order != nil {
			if err := a.advance(ctx, order); err != nil && ctx.Err() == nil {
				a.log.Warn("maintenance step failed", zap.Stringer("phase", order.Phase), zap.Error(err))
			}
			if a.lease != nil {
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

// logReachability logs when the store becomes unreachable, and when it is reachable again.
func (a *Agent) logReachability(ctx context.Context, err error) {
	switch {
	case err != nil && ctx.Err() == nil && !a.unreachable:
		a.unreachable = true
		a.log.Warn("store unreachable, machine not available for maintenance", zap.Error(err))
	case err == nil && a.unreachable:
		a.unreachable = false
		a.log.Info("store reachable again")
	}
}

// sendHeartbeat reports the machine's state and load. It returns the machine's order, or nil if there is none.
func (a *Agent) sendHeartbeat(ctx context.Context) (*maintenance.Order, error) {
	load := a.service.Load()
	if !load.Known {
		load.Utilization = unknownUtilization
	}
	a.sequence++
	heartbeat := maintenance.Heartbeat{
		Machine:    a.machine,
		IntervalMS: a.cfg.heartbeatInterval().Milliseconds(),
		Sequence:   a.sequence,
		GrantToken: a.returnedGrant,
	}
	heartbeat.Utilization = load.Utilization
	heartbeat.IsVoter = a.machine.IsVoter && !load.Learner
	heartbeat.State = maintenance.MachineWarmingUp
	if load.Warm {
		heartbeat.State = maintenance.MachineInService
	}
	ctx, cancel := context.WithTimeout(ctx, max(a.cfg.heartbeatInterval(), minHeartbeatTimeout))
	defer cancel()
	return a.client.SendHeartbeat(ctx, heartbeat)
}

// advance takes the machine's next step for its order.
func (a *Agent) advance(ctx context.Context, order *maintenance.Order) error {
	switch order.Phase {
	case maintenance.PhaseGranted:
		return a.confirm(ctx)
	case maintenance.PhaseDraining, maintenance.PhaseOut, maintenance.PhaseFailed:
		// The process that confirmed this order has exited, so the start of this one is the machine's return.
		report := maintenance.PhaseReport{Phase: maintenance.PhaseReturned, GrantToken: order.GrantToken}
		if err := a.client.ReportPhase(ctx, a.machine.Name, report); err != nil {
			return err
		}
		a.log.Info("machine returned from maintenance", zap.Uint64("grant", order.GrantToken))
		a.returnedGrant = order.GrantToken
	case maintenance.PhaseReturned: // also after a report whose response was lost
		a.returnedGrant = order.GrantToken
	}
	return nil
}

// confirm acquires the machine's lease, and reports under its fencing token that the machine is draining. The
// report is rejected if the grant has been revoked.
func (a *Agent) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	lease, err := a.leases.Acquire(ctx, leaseclient.AcquireOptions{Name: controller.MachineLeasePrefix + a.machine.Name, TTL: machineLeaseTTL})
	if err != nil {
		return fmt.Errorf("acquire lease of this machine: %w", err)
	}
	report := maintenance.PhaseReport{Phase: maintenance.PhaseDraining, GrantToken: lease.Token}
	if err := a.client.ReportPhase(ctx, a.machine.Name, report); err != nil {
		// The report may have been applied anyway. In that case the machine reports its return at the next heartbeat.
		return errors.Join(err, a.release(lease))
	}
	a.log.Info("machine starts draining for maintenance", zap.Uint64("grant", lease.Token))
	a.lease = lease
	return nil
}

func (a *Agent) release(lease *leaseclient.Lease) error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	return lease.Release(ctx)
}
