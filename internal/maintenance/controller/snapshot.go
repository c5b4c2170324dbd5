package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/maintenance"
)

// snapshot is the maintenance state in the store, with the revisions of the keys that a decision changes.
type snapshot struct {
	observation    maintenance.Observation
	orderRevisions map[string]uint64   // store revisions of the orders, by machine
	pauseRevision  uint64              // store revision of the pause; 0 if maintenance was never paused
	localOrders    []maintenance.Order // the observation's orders, with times on this node's clock
}

// readSnapshot waits until this node's state is fresh and reads it.
func (c *Controller) readSnapshot(ctx context.Context) (s snapshot, err error) {
	if _, err := c.store.WaitFresh(ctx, store.Freshness{}); err != nil {
		return s, err
	}
	entries, _ := c.store.Entries()
	now := time.Now()
	s.observation = maintenance.Observation{NowMS: now.UnixMilli(), Budget: maintenance.DefaultDisruptionBudget()}
	if err := s.readPause(entries); err != nil {
		return s, err
	}
	s.readBudget(entries)
	if err := s.readOrders(entries); err != nil {
		return s, err
	}
	s.localOrders = c.ordersInLocalTime(s, now)
	s.observation.Machines = c.machines(c.heartbeats(), s.observation.Orders)
	return s, nil
}

// decide returns the decision for the snapshot. Timeouts of phases depend on this node's clock alone; only the latest
// start of an order is an absolute time.
func (s *snapshot) decide() maintenance.Decision {
	observation := s.observation
	observation.Orders = s.localOrders
	return maintenance.Decide(observation)
}

func (s *snapshot) readPause(entries map[string]kv.Entry) error {
	e, ok := entries[pauseKey]
	if !ok {
		return nil
	}
	s.pauseRevision = e.ModRevision
	if json.Unmarshal(e.Value, &s.observation.Pause) != nil {
		return fmt.Errorf("%s: can't be read", pauseKey)
	}
	return nil
}

// readBudget reads the budget that operators have set. A budget that is not valid pauses maintenance.
func (s *snapshot) readBudget(entries map[string]kv.Entry) {
	e, ok := entries[BudgetKey]
	if !ok {
		return
	}
	budget := maintenance.DefaultDisruptionBudget()
	err := json.Unmarshal(e.Value, &budget)
	if err == nil {
		err = budget.Validate()
	}
	if err != nil {
		s.observation.Pause.Paused = true
		s.observation.Pause.Reason = fmt.Sprintf("%s: %v", BudgetKey, err)
		return
	}
	s.observation.Budget = budget
}

func (s *snapshot) readOrders(entries map[string]kv.Entry) error {
	s.orderRevisions = map[string]uint64{}
	for key, e := range entries {
		if !strings.HasPrefix(key, orderPrefix) {
			continue
		}
		var o maintenance.Order
		if err := json.Unmarshal(e.Value, &o); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		s.observation.Orders = append(s.observation.Orders, o)
		s.orderRevisions[o.Machine] = e.ModRevision
	}
	slices.SortFunc(s.observation.Orders, func(a, b maintenance.Order) int { return strings.Compare(a.Machine, b.Machine) })
	return nil
}

// order returns the order of a machine. The machine must have one.
func (s *snapshot) order(machine string) maintenance.Order {
	i := slices.IndexFunc(s.observation.Orders, func(o maintenance.Order) bool { return o.Machine == machine })
	return s.observation.Orders[i]
}
