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

// Keys of the store that the service reads and writes.
const (
	keySettings    = "config/settings"  // replaces the settings of the configuration file at the next start
	keyLogLevel    = "config/log_level" // "debug", "info", "warn" or "error"; takes effect immediately
	keyStatePrefix = "state/"           // followed by the service name; the value is a serviceReport
)

// serviceState is the state that the service publishes in the store.
type serviceState string

// States of the service. The values are stored.
const (
	stateOpen     serviceState = "open"
	stateDraining serviceState = "draining"
)

// serviceReport is the stored value of the service's state.
type serviceReport struct {
	SinceMS int64        `json:"since_ms"` // Unix time at which the state was published
	State   serviceState `json:"state"`
}

const (
	// catchUpTimeout bounds the wait for the other store nodes at start. At least 90% of
	// restarted services must be ready within 10 s, even if the store is unreachable.
	catchUpTimeout = 4 * time.Second

	publishTimeout       = 10 * time.Second // for one attempt to write the service's state
	publishRetryInterval = time.Second
)

// storeNode is this process's node of the replicated store. If no store is configured, its methods do
// nothing.
type storeNode struct {
	store       *store.Store // nil if no store is configured
	singletons  *singleton.Tasks
	serviceName string
	log         *zap.Logger
	states      chan serviceState // at most one: the state to publish next
	caughtUp    atomic.Bool       // the node has applied all entries that were committed when it started
}

// openStoreNode starts the node, waits up to catchUpTimeout until it has caught up, and loads the settings
// of the store into cfg.
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
		if key == keyLogLevel && n.caughtUp.Load() { // ignores changes that are replayed from the log
			n.setLogLevel(level, value)
		}
	})
	startCtx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if s.WaitCaughtUp(startCtx) {
		n.followLogLevel(level)
		n.loadSettings(cfg)
	} else {
		log.Warn("store unreachable, starting with last good settings")
		n.loadLastGoodSettings(cfg)
		go func() {
			if s.WaitCaughtUp(ctx) {
				n.followLogLevel(level)
			}
		}()
	}
	go n.publishStates()
	return n, nil
}

// publishState starts to write the service's state to the store in the background. It replaces a state that
// is not written yet.
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

// publishStates writes states to the store. It retries each state until that succeeds or a newer state is
// queued.
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

// tryPublish makes one attempt to write a report, and reports whether it succeeded.
func (n *storeNode) tryPublish(report json.RawMessage) bool {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	return n.store.Set(ctx, keyStatePrefix+n.serviceName, report) == nil
}

// closeTimeout returns the part of the drain timeout that is reserved for close.
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
