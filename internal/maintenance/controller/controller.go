// Package controller carries out maintenance orders. Orders, the disruption budget and the
// machines' heartbeats are keys of the replicated store. Every node has a controller, which serves
// requests about orders. The controller whose process holds ControllerLease also makes the decisions of
// package maintenance, from the contents of the store alone. Each of its writes carries the lease's
// fencing token and compares the revisions of the orders that it changes and of the pause, so a
// controller that resumes after a suspension can't write an outdated decision.
package controller

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/maintenance"
)

// Names of leases. They are on the wire.
const (
	ControllerLease    = "work/order"    // held by the process that makes the decisions
	MachineLeasePrefix = "work/machine/" // followed by a machine's name; held by the machine while it drains
)

// Keys and key prefixes in the store.
const (
	BudgetKey       = "config/work" // the disruption budget, set by operators
	reservedPrefix  = kv.ReservedPrefix + "work/"
	orderPrefix     = reservedPrefix + "job/"         // followed by a machine's name; a maintenance.Order
	pauseKey        = reservedPrefix + "pause"        // a maintenance.Pause
	heartbeatPrefix = kv.ServiceStatePrefix + "work/" // followed by a machine's name; its last maintenance.Heartbeat
)

var (
	// ErrOrderNotFound means that the machine has no open order.
	ErrOrderNotFound = errors.New("no work is asked for on this machine")
	// ErrConflict means that an order or the pause was changed concurrently. A retry may succeed.
	ErrConflict = errors.New("it was changed at the same time")
)

// Controller is the maintenance controller of one node. It is safe for concurrent use. Methods that
// change orders succeed on the leader only.
type Controller struct {
	store *store.Store
	log   *zap.Logger
	stop  context.CancelFunc
	loop  sync.WaitGroup

	mu             sync.Mutex
	observed       map[string]observedHeartbeat // by machine
	observedOrders map[string]observedOrder     // by machine
}

// New returns the controller of a node, and starts to observe heartbeats and orders, so that the controller
// knows their ages. Close stops it.
func New(s *store.Store, log *zap.Logger) *Controller {
	ctx, stop := context.WithCancel(context.Background())
	c := &Controller{
		store:          s,
		log:            log,
		observed:       map[string]observedHeartbeat{},
		observedOrders: map[string]observedOrder{},
		stop:           stop,
	}
	c.loop.Go(func() { c.observe(ctx) })
	return c
}

// Close stops the observation and waits until it has ended.
func (c *Controller) Close() {
	c.stop()
	c.loop.Wait()
}

// MayWrite reports whether a request with these fencing tokens may write a reserved key. The key must be one
// of the controller's, and one of the tokens must be for ControllerLease.
func MayWrite(fences []lease.FencingToken, key string) bool {
	return strings.HasPrefix(key, reservedPrefix) &&
		slices.ContainsFunc(fences, func(f lease.FencingToken) bool { return f.Name == ControllerLease })
}

// putJSON returns an operation that stores a value as JSON.
func putJSON(key string, value any) kv.Op {
	text, _ := json.Marshal(value) // this package's values can always be encoded
	return kv.Put(key, text)
}

// putOrder returns an operation that stores an order.
func putOrder(o maintenance.Order) kv.Op { return putJSON(orderPrefix+o.Machine, o) }
