package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/maintenance/agent"
	"oxbowbridge/internal/proxy/exchange"
)

// loadQueryTimeout bounds the wait for the load that the dispatcher reports.
const loadQueryTimeout = 200 * time.Millisecond

// maintenanceAgent connects the service to its maintenance agent. Without the field "work" in the
// configuration it does nothing.
type maintenanceAgent struct {
	agent          *agent.Agent // nil without the field "work"
	service        *service
	node           *storeNode
	drainRequested chan struct{} // closed when the machine starts to drain for maintenance
	drainOnce      sync.Once
	agentStopped   chan struct{} // closed when the agent sends no more heartbeats
}

// openMaintenanceAgent starts the agent if it is configured.
func openMaintenanceAgent(ctx context.Context, cfg *config, node *storeNode, s *service, log *zap.Logger) *maintenanceAgent {
	m := &maintenanceAgent{service: s, node: node, drainRequested: make(chan struct{}), agentStopped: make(chan struct{})}
	if cfg.Maintenance == nil {
		close(m.agentStopped)
		return m
	}
	localNode := ""
	if node.store != nil {
		localNode = node.store.AdminAddress()
	}
	m.agent = agent.New(*cfg.Maintenance, cfg.Name, cfg.Limits.Cores, localNode, m, log)
	go func() {
		defer close(m.agentStopped)
		m.agent.Run(ctx)
	}()
	return m
}

// Load returns the load of the service, which is unknown if the dispatcher does not report it in time. It
// also returns whether the store node of this process is a learner.
func (m *maintenanceAgent) Load() agent.Load {
	reportedLoad := make(chan agent.Load, 1)
	m.service.exchange.Post(exchange.Callback(func() {
		var load agent.Load
		load.Utilization, load.Known, load.Warm = m.service.dispatcher.Load()
		reportedLoad <- load
	}))
	var load agent.Load
	select {
	case load = <-reportedLoad:
	case <-time.After(loadQueryTimeout):
	}
	load.Learner = m.isLearner()
	return load
}

// isLearner reports whether the store node of this process is a learner, a member without a vote.
func (m *maintenanceAgent) isLearner() bool {
	if m.node.store == nil {
		return false
	}
	votes, isMember := m.node.store.VotesByName()[m.node.store.Name()]
	return isMember && !votes
}

// StartDrain transfers the leadership of the store to another node and starts a graceful shutdown of the
// service, as on SIGTERM.
func (m *maintenanceAgent) StartDrain() {
	if m.node.store != nil {
		m.node.store.StepDown()
	}
	m.drainOnce.Do(func() { close(m.drainRequested) })
}

// finish closes the agent after the service has drained. If the drain was for maintenance, it first runs
// the maintenance command. If that command succeeds and asks for a restart, it replaces the process by a
// new instance of the program.
func (m *maintenanceAgent) finish(ctx context.Context) error {
	if m.agent == nil {
		return nil
	}
	select {
	case <-m.drainRequested:
	default: // drained because of a shutdown signal
		<-m.agentStopped
		m.agent.Close()
		return nil
	}
	<-m.agentStopped
	restart, err := m.agent.PerformMaintenance()
	m.agent.Close()
	if err != nil || !restart || ctx.Err() != nil {
		return err
	}
	m.node.close()
	return fmt.Errorf("restart: %w", execSelf())
}

// execSelf replaces the process by a new instance with the same arguments. It returns only on an error.
func execSelf() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	return syscall.Exec(program, os.Args, os.Environ())
}
