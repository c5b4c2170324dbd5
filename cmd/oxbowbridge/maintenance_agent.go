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

// loadTimeout is for the dispatcher to answer how busy the service is.
const loadTimeout = 200 * time.Millisecond

// maintenanceAgent is the service's part in maintenance. Without its section in the configuration it
// does nothing.
type maintenanceAgent struct {
	agent          *agent.Agent // nil without its section
	service        *service
	node           *storeNode
	drainRequested chan struct{} // closed when the machine leaves for maintenance
	requestDrain   sync.Once
	ended          chan struct{} // closed when the agent sends no more heartbeats
}

func openMaintenanceAgent(ctx context.Context, cfg *config, node *storeNode, s *service, log *zap.Logger) *maintenanceAgent {
	m := &maintenanceAgent{service: s, node: node, drainRequested: make(chan struct{}), ended: make(chan struct{})}
	if cfg.Maintenance == nil {
		close(m.ended)
		return m
	}
	localNode := ""
	if node.store != nil {
		localNode = node.store.AdminAddress()
	}
	m.agent = agent.New(*cfg.Maintenance, cfg.Name, cfg.Limits.Cores, localNode, m, log)
	go func() {
		defer close(m.ended)
		m.agent.Run(ctx)
	}()
	return m
}

// Load asks the dispatcher how busy the service is. Without an answer in time that is not known. It also tells
// whether the node of the store votes.
func (m *maintenanceAgent) Load() agent.Load {
	answer := make(chan agent.Load, 1)
	m.service.exchange.Post(exchange.Callback(func() {
		var load agent.Load
		load.Utilization, load.Known, load.Warm = m.service.dispatcher.Load()
		answer <- load
	}))
	var load agent.Load
	select {
	case load = <-answer:
	case <-time.After(loadTimeout):
	}
	load.Learner = m.isLearner()
	return load
}

// isLearner reports whether the service's own node of the store is a member without a vote.
func (m *maintenanceAgent) isLearner() bool {
	if m.node.store == nil {
		return false
	}
	votes, isMember := m.node.store.VotesByName()[m.node.store.Name()]
	return isMember && !votes
}

// StartDrain starts a graceful shutdown of the service, as on SIGTERM, and hands the leadership of the
// store to another node.
func (m *maintenanceAgent) StartDrain() {
	if m.node.store != nil {
		m.node.store.StepDown()
	}
	m.requestDrain.Do(func() { close(m.drainRequested) })
}

// finish ends the agent once the service has drained. If the machine has left for maintenance, it
// performs that; after a command that succeeded the program starts again in the same process.
func (m *maintenanceAgent) finish(ctx context.Context) error {
	if m.agent == nil {
		return nil
	}
	select {
	case <-m.drainRequested:
	default: // a SIGTERM
		<-m.ended
		m.agent.Close()
		return nil
	}
	<-m.ended
	restart, err := m.agent.PerformMaintenance()
	m.agent.Close()
	if err != nil || !restart || ctx.Err() != nil {
		return err
	}
	m.node.close()
	return fmt.Errorf("start again: %w", execSelf())
}

// execSelf replaces the process by a new one with the same arguments. It returns only an error.
func execSelf() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	return syscall.Exec(program, os.Args, os.Environ())
}
