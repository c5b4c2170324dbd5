package controller

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/maintenance"
)

const (
	heartbeatPollInterval = 200 * time.Millisecond
	maxHeartbeatStaleness = time.Second // maximum age of the store state in which heartbeats are observed
	maxMissedHeartbeats   = 5           // heartbeat intervals without a heartbeat after which a machine is unreachable
	unknownAgeMS          = -1          // age of a heartbeat whose age is unknown
)

// observedHeartbeat is the time at which this node first saw a machine's last heartbeat, on its own monotonic
// clock. The age of a heartbeat is never computed from the clocks of two machines.
type observedHeartbeat struct {
	sequence   uint64
	observedAt time.Time
	count      int // number of heartbeats observed; the first one may be old
}

// RecordHeartbeat stores a machine's heartbeat. It returns the machine's order, or nil if there is none.
func (c *Controller) RecordHeartbeat(_ context.Context, heartbeat maintenance.Heartbeat) (*maintenance.Order, error) {
	if err := heartbeat.Validate(); err != nil {
		return nil, err
	}
	write := kv.Request{Then: []kv.Op{putJSON(heartbeatPrefix+heartbeat.Name, heartbeat)}}
	if _, err := c.store.Execute(write); err != nil {
		return nil, err
	}
	e, ok := c.store.Entry(orderPrefix + heartbeat.Name)
	if !ok {
		return nil, nil
	}
	order := &maintenance.Order{}
	return order, json.Unmarshal(e.Value, order)
}

// observe polls for new heartbeats and changed orders until ctx ends. It skips polls while this node's state is stale,
// since a node that replays the log sees heartbeats that were written long ago.
func (c *Controller) observe(ctx context.Context) {
	tick := time.NewTicker(heartbeatPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if len(c.heartbeats()) == 0 && !c.hasOrders() {
			continue // nothing to observe; don't ask other nodes for a fresh state
		}
		if _, err := c.store.WaitFresh(ctx, store.Freshness{MaxStaleness: maxHeartbeatStaleness}); err == nil {
			c.observeHeartbeats(c.heartbeats())
			c.observeOrders()
		}
	}
}

// heartbeats returns the last heartbeat of each machine in this node's state. It skips those that can't be
// decoded.
func (c *Controller) heartbeats() (list []maintenance.Heartbeat) {
	entries, _ := c.store.Entries()
	for key, e := range entries {
		var h maintenance.Heartbeat
		if strings.HasPrefix(key, heartbeatPrefix) && json.Unmarshal(e.Value, &h) == nil {
			list = append(list, h)
		}
	}
	return list
}

// machines returns the machines that sent the heartbeats, with ages on this node's clock, sorted by name.
func (c *Controller) machines(heartbeats []maintenance.Heartbeat, orders []maintenance.Order) (list []maintenance.Machine) {
	observed, now := c.observeHeartbeats(heartbeats)
	voters := c.store.VotesByName()
	for i, h := range heartbeats {
		m := observedMachine(h, observed[i], now)
		if m.State == maintenance.MachineInService && !hasReturned(h, orders) {
			m.State = maintenance.MachineWarmingUp
		}
		// The store's membership takes precedence over the heartbeat, which may be old, or from a version that reports
		// a learner as a voter. For a machine whose node has another name, the heartbeat is the only source.
		if votes, isMember := voters[m.Name]; isMember {
			m.IsVoter = votes
		}
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b maintenance.Machine) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// observeHeartbeats records the heartbeats that are new as observed now. It returns the observation of each
// heartbeat, and the current time.
func (c *Controller) observeHeartbeats(heartbeats []maintenance.Heartbeat) (observed []observedHeartbeat, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now = time.Now()
	for _, h := range heartbeats {
		observed = append(observed, c.observeHeartbeat(h, now))
	}
	return observed, now
}

// observeHeartbeat records a heartbeat if it is new, and returns its observation. c.mu must be held.
func (c *Controller) observeHeartbeat(h maintenance.Heartbeat, now time.Time) observedHeartbeat {
	last, known := c.observed[h.Name]
	if !known || last.sequence != h.Sequence {
		last = observedHeartbeat{sequence: h.Sequence, observedAt: now, count: last.count + 1}
		c.observed[h.Name] = last
	}
	return last
}

// observedMachine returns the machine of a heartbeat, with the age of the heartbeat on this node's clock. The machine
// is unreachable if its last heartbeat is too old, or if only one was observed, since that one may be old.
func observedMachine(h maintenance.Heartbeat, observed observedHeartbeat, now time.Time) maintenance.Machine {
	m := h.Machine
	age := now.Sub(observed.observedAt)
	m.UtilizationAgeMS = age.Milliseconds()
	if observed.count < 2 {
		m.UtilizationAgeMS = unknownAgeMS
		m.State = maintenance.MachineUnreachable
	}
	interval := time.Duration(h.IntervalMS) * time.Millisecond
	if age > maxMissedHeartbeats*interval {
		m.State = maintenance.MachineUnreachable
	}
	return m
}

// hasReturned returns false if a machine's order is in phase returned, but the heartbeat was sent before the
// return: it has no grant token, or an earlier one.
func hasReturned(h maintenance.Heartbeat, orders []maintenance.Order) bool {
	i := slices.IndexFunc(orders, func(o maintenance.Order) bool { return o.Machine == h.Name })
	return i < 0 || orders[i].Phase != maintenance.PhaseReturned || h.GrantToken == orders[i].GrantToken
}
