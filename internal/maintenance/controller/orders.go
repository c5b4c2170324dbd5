package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/maintenance"
)

// Submit requests maintenance of a machine that has no open order. Errors wrap
// maintenance.ErrInvalidOrder, maintenance.ErrWrongPhase or ErrConflict.
func (c *Controller) Submit(ctx context.Context, order maintenance.Order) (maintenance.Order, error) {
	order.Phase = maintenance.PhaseRequested
	order.GrantToken = 0
	order.PhaseReason = ""
	if err := order.Validate(); err != nil {
		return order, err
	}
	err := c.changeOrder(ctx, order.Machine, func(old *maintenance.Order) (orderChange, error) {
		if old != nil && old.Phase.Open() {
			return orderChange{}, wrongPhase(old)
		}
		order.RequestedMS = time.Now().UnixMilli()
		order.PhaseSinceMS = order.RequestedMS
		order.Ticket = c.store.AppliedRevision()
		return orderChange{to: &order}, nil
	})
	return order, err
}

// Cancel withdraws an order, unless its machine has confirmed that it leaves. A failed order is
// abandoned. Errors wrap ErrOrderNotFound, maintenance.ErrWrongPhase or ErrConflict.
func (c *Controller) Cancel(ctx context.Context, machine string) error {
	return c.changeOrder(ctx, machine, func(old *maintenance.Order) (orderChange, error) {
		if old == nil || !old.Phase.Open() {
			return orderChange{}, ErrOrderNotFound
		}
		next, err := old.Cancel()
		if err != nil {
			return orderChange{}, wrongPhase(old)
		}
		return orderChange{to: next}, nil
	})
}

// Report applies a report of a machine's phase. One that a machine drains depends on the machine's
// lease. Errors wrap ErrOrderNotFound, maintenance.ErrWrongPhase, kv.ErrFenced or ErrConflict.
func (c *Controller) Report(ctx context.Context, machine string, report maintenance.PhaseReport) error {
	apply := func(old *maintenance.Order) (orderChange, error) {
		if old == nil {
			return orderChange{}, ErrOrderNotFound
		}
		next, changed, err := old.ApplyReport(report)
		if err != nil {
			return orderChange{}, wrongPhase(old)
		}
		return orderChange{to: &next, none: !changed}, nil
	}
	return c.changeOrder(ctx, machine, apply, fencesFor(machine, report)...)
}

func wrongPhase(o *maintenance.Order) error {
	return fmt.Errorf("%w: %s", maintenance.ErrWrongPhase, o.Phase)
}

// fencesFor returns the leases that a report depends on.
func fencesFor(machine string, report maintenance.PhaseReport) []lease.FencingToken {
	if report.Phase != maintenance.PhaseDraining {
		return nil
	}
	return []lease.FencingToken{{Name: MachineLeasePrefix + machine, Token: report.GrantToken}}
}

// orderChange is what becomes of an order.
type orderChange struct {
	to   *maintenance.Order // nil deletes it
	none bool               // it stays as it is
}

// changeOrder changes a machine's order; old is nil if there is none. The error is ErrConflict if it
// was changed meanwhile.
func (c *Controller) changeOrder(
	ctx context.Context,
	machine string,
	change func(old *maintenance.Order) (orderChange, error),
	fences ...lease.FencingToken,
) error {
	if _, err := c.store.WaitFresh(ctx, store.Freshness{}); err != nil {
		return err
	}
	key := orderPrefix + machine
	old, revision, err := c.readOrder(key)
	if err != nil {
		return err
	}
	next, err := change(old)
	if err != nil || next.none {
		return err
	}
	request := kv.Request{
		Fences: fences,
		If:     []kv.Compare{{Key: key, Revision: revision}},
		Then:   []kv.Op{kv.Delete(key)},
	}
	if next.to != nil {
		if old == nil || next.to.Phase != old.Phase {
			next.to.PhaseSinceMS = time.Now().UnixMilli()
		}
		request.Then = []kv.Op{putOrder(*next.to)}
	}
	return c.executeUnchanged(request)
}

// readOrder reads an order and its revision; nil and 0 if there is none.
func (c *Controller) readOrder(key string) (*maintenance.Order, uint64, error) {
	e, ok := c.store.Entry(key)
	if !ok {
		return nil, 0, nil
	}
	order := &maintenance.Order{}
	if err := json.Unmarshal(e.Value, order); err != nil {
		return nil, 0, fmt.Errorf("%s: %w", key, err)
	}
	return order, e.ModRevision, nil
}

// executeUnchanged carries out a request whose comparisons must hold.
func (c *Controller) executeUnchanged(request kv.Request) error {
	response, err := c.store.Execute(request)
	if err == nil && !response.Succeeded {
		return ErrConflict
	}
	return err
}
