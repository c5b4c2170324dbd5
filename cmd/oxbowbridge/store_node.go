package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/singleton"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/cluster/storeadmin"
)

// The keys of the store that the program reads and writes.
const (
	keySettings = "config/settings"  // in place of the file's settings, from the next start on
	keyLevel    = "config/log_level" // "debug", "info", "warn" or "error", at once
	keyState    = "state/"           // and the service's name: a serviceReport
)

// serviceState is what the service reports of itself.
type serviceState string

// States of the service, as they are stored.
const (
	stateOpen     serviceState = "open"
	stateDraining serviceState = "draining"
)

// serviceReport is the service's state in the store.
type serviceReport struct {
	SinceMS int64        `json:"since_ms"` // Unix time, when it was reported
	State   serviceState `json:"state"`
}

const (
	// catchUpTimeout is how long a start waits for the other nodes. Nine in ten restarted
	// services have to be ready within 10 s, also when the store can't be reached.
	catchUpTimeout = 4 * time.Second

	publishTimeout       = 10 * time.Second // for one write of the service's state
	publishRetryInterval = time.Second
)

// storeNode is the program's node of the replicated store. A program without one has a storeNode
// that does nothing.
type storeNode struct {
	store       *store.Store // nil without a node
	singletons  *singleton.Tasks
	serviceName string
	log         *zap.Logger
	states      chan serviceState // the last one to publish
	caughtUp    atomic.Bool       // the node has read all that was committed when it started
}

// openStoreNode starts the node, waits until it has caught up, for catchUpTimeout at most, and loads
// the store's settings into cfg.
func openStoreNode(ctx context.Context, cfg *config, level zap.AtomicLevel, log *zap.Logger) (*storeNode, error) {
	if cfg.Store == nil {
		return &storeNode{}, nil
	}
	s, controller, err := storeadmin.Open(*cfg.Store, log.Named("store"))
	if err != nil {
		return nil, fmt.Errorf("%w: store: %w", errConfig, err)
	}
	singletons, err := singleton.Start(s, controller, *cfg.Store, log.Named("singleton"))
	if err != nil {
		s.Close()
		return nil, fmt.Errorf("%w: store: %w", errConfig, err)
	}
	n := &storeNode{store: s, singletons: singletons, serviceName: cfg.Name, log: log, states: make(chan serviceState, 1)}
	s.OnChange(func(key string, value json.RawMessage) {
		if key == keyLevel && n.caughtUp.Load() { // changes in a log that is replayed are past
			n.setLevel(level, value)
		}
	})
	startCtx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if s.WaitCaughtUp(startCtx) {
		n.followLevel(level)
		n.loadSettings(cfg)
	} else {
		log.Warn("store unreachable, starting with last good settings")
		n.loadLastGoodSettings(cfg)
		go func() {
			if s.WaitCaughtUp(ctx) {
				n.followLevel(level)
			}
		}()
	}
	go n.publishStates()
	return n, nil
}

// publishState writes the service's state to the store in the background, as soon as that is possible. Only the
// last state counts.
func (n *storeNode) publishState(state serviceState) {
	if n.store == nil {
		return
	}
	select {
	case <-n.states:
	default:
	}
	select {
	case n.states <- state:
	default:
	}
}

func (n *storeNode) publishStates() {
	for state := range n.states {
		report, err := json.Marshal(serviceReport{SinceMS: time.Now().UnixMilli(), State: state})
		if err != nil {
			continue
		}
		for !n.tryPublish(report) && len(n.states) == 0 {
			time.Sleep(publishRetryInterval)
		}
	}
}

// tryPublish writes the service's report once, and reports whether that succeeded.
func (n *storeNode) tryPublish(report json.RawMessage) bool {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	return n.store.Set(ctx, keyState+n.serviceName, report) == nil
}

// closeTimeout returns the part of the drain timeout that close may take.
func (n *storeNode) closeTimeout() time.Duration {
	if n.store == nil {
		return 0
	}
	return store.CloseTimeout + singleton.CloseTimeout
}

func (n *storeNode) close() {
	if n.store != nil {
		n.singletons.Close()
		n.store.Close()
	}
}
