// Package controller carries out maintenance orders. Orders, the disruption budget and the
// machines' heartbeats are keys of the replicated store. Every node has a controller, which
// answers requests about orders; the one whose process holds ControllerLease decides, with package
// maintenance, from what is in the store alone. Each of its writes depends on that lease and
// compares all that it has decided on, so a controller that was suspended changes nothing.
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

// Names of leases.
const (
	ControllerLease    = "work/order"    // held by the process that decides; the name is on the wire
	MachineLeasePrefix = "work/machine/" // and a machine's name: held by the machine while it drains
)

// Keys of the store.
const (
	BudgetKey       = "config/work" // the disruption budget, set by operators
	reservedPrefix  = kv.ReservedPrefix + "work/"
	orderPrefix     = reservedPrefix + "job/"         // and a machine's name
	pauseKey        = reservedPrefix + "pause"        // a maintenance.Pause
	heartbeatPrefix = kv.ServiceStatePrefix + "work/" // and a machine's name: its last heartbeat
)

var (
	// ErrOrderNotFound means that the machine has no open order.
	ErrOrderNotFound = errors.New("no work is asked for on this machine")
	// ErrConflict means that an order or the pause was changed at the same time. A retry may help.
	ErrConflict = errors.New("it was changed at the same time")
)

// Controller is one node's. It is safe for concurrent use. Its methods that change orders work on
// the leader only.
type Controller struct {
	store *store.Store
	log   *zap.Logger
	stop  context.CancelFunc
	loop  sync.WaitGroup

	mu             sync.Mutex
	observed       map[string]observedHeartbeat // by machine
	observedOrders map[string]observedOrder     // by machine
}

// New returns a node's controller. It observes the machines' heartbeats and the orders from now on, so that it
// knows how old they are. Close ends it.
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

// Close ends the controller's observation.
func (c *Controller) Close() {
	c.stop()
	c.loop.Wait()
}

// MayWrite reports whether a request may write a reserved key: it is one of the controller's, and the
// request depends on ControllerLease.
func MayWrite(fences []lease.FencingToken, key string) bool {
	return strings.HasPrefix(key, reservedPrefix) &&
		slices.ContainsFunc(fences, func(f lease.FencingToken) bool { return f.Name == ControllerLease })
}

// putJSON writes one of this package's values.
func putJSON(key string, value any) kv.Op {
	text, _ := json.Marshal(value) // texts, numbers and lists of them can be encoded
	return kv.Put(key, text)
}

func putOrder(o maintenance.Order) kv.Op { return putJSON(orderPrefix+o.Machine, o) }
