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
	maxHeartbeatStaleness = time.Second // of the store's state in which heartbeats are observed
	maxMissedHeartbeats   = 5           // after which a machine is unreachable
	unknownAgeMS          = -1
)

// observedHeartbeat is when this node noticed a machine's last heartbeat, by its own monotonic
// clock: for the age of a heartbeat, clocks of two machines are never compared.
type observedHeartbeat struct {
	sequence   uint64
	observedAt time.Time
	count      int // of heartbeats observed; the first one may be old
}

// RecordHeartbeat stores a machine's heartbeat, and returns its order; nil if there is none.
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

// observe notes heartbeats and changes of orders as they come, while this node's state is fresh: those in a log
// that it is catching up with were written long ago.
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
			continue // without machines, the other nodes are not asked for anything
		}
		if _, err := c.store.WaitFresh(ctx, store.Freshness{MaxStaleness: maxHeartbeatStaleness}); err == nil {
			c.observeAll(c.heartbeats())
			c.observeOrders()
		}
	}
}

// heartbeats returns the machines' last heartbeats in this node's state. One that can't be decoded is
// ignored.
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

// machines returns the machines of heartbeats, with what this node knows of their age, sorted by name.
func (c *Controller) machines(heartbeats []maintenance.Heartbeat, orders []maintenance.Order) (list []maintenance.Machine) {
	observed, now := c.observeAll(heartbeats)
	voters := c.store.VotesByName()
	for i, h := range heartbeats {
		m := observedMachine(h, observed[i], now)
		if m.State == maintenance.MachineInService && !hasReturned(h, orders) {
			m.State = maintenance.MachineWarmingUp
		}
		// The store's configuration knows better than a last heartbeat, which may be old or from a version that says
		// the same of a learner. A machine whose node has another name is taken at its word.
		if votes, isMember := voters[m.Name]; isMember {
			m.IsVoter = votes
		}
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b maintenance.Machine) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// observeAll notes those heartbeats that are new, at the present time, which it returns, and returns the
// observation of each.
func (c *Controller) observeAll(heartbeats []maintenance.Heartbeat) (observed []observedHeartbeat, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now = time.Now()
	for _, h := range heartbeats {
		observed = append(observed, c.observeHeartbeat(h, now))
	}
	return observed, now
}

// observeHeartbeat notes a heartbeat, if it is new. The lock is held.
func (c *Controller) observeHeartbeat(h maintenance.Heartbeat, now time.Time) observedHeartbeat {
	last, known := c.observed[h.Name]
	if !known || last.sequence != h.Sequence {
		last = observedHeartbeat{sequence: h.Sequence, observedAt: now, count: last.count + 1}
		c.observed[h.Name] = last
	}
	return last
}

// observedMachine returns a heartbeat's machine as this node observes it: with the age of the
// heartbeat and the state that follows from it. A machine is unreachable if its heartbeats are
// missing, or if only one was observed, which may be old.
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

// hasReturned returns false if a machine's order says that it has returned, but the heartbeat was sent
// before that: it names no grant, or an earlier one.
func hasReturned(h maintenance.Heartbeat, orders []maintenance.Order) bool {
	i := slices.IndexFunc(orders, func(o maintenance.Order) bool { return o.Machine == h.Name })
	return i < 0 || orders[i].Phase != maintenance.PhaseReturned || h.GrantToken == orders[i].GrantToken
}
