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

// Submit stores a new order for a machine that has no open order. Errors wrap
// maintenance.ErrInvalidOrder, maintenance.ErrWrongPhase or ErrConflict.
func (c *Controller) Submit(ctx context.Context, order maintenance.Order) (maintenance.Order, error) {
	order.Phase = maintenance.PhaseRequested
	order.GrantToken = 0
	order.PhaseReason = ""
	if err := order.Validate(); err != nil {
		return order, err
	}
	err := c.changeOrder(ctx, order.Machine, func(old *maintenance.Order) (orderChange, error) {
		if old != nil && old.Phase.IsOpen() {
			return orderChange{}, wrongPhaseError(old)
		}
		order.RequestedMS = time.Now().UnixMilli()
		order.PhaseSinceMS = order.RequestedMS
		order.Ticket = c.store.AppliedRevision()
		return orderChange{next: &order}, nil
	})
	return order, err
}

// Cancel deletes an order whose machine has not confirmed a grant, and abandons a failed order. Errors wrap
// ErrOrderNotFound, maintenance.ErrWrongPhase or ErrConflict.
func (c *Controller) Cancel(ctx context.Context, machine string) error {
	return c.changeOrder(ctx, machine, func(old *maintenance.Order) (orderChange, error) {
		if old == nil || !old.Phase.IsOpen() {
			return orderChange{}, ErrOrderNotFound
		}
		next, err := old.Cancel()
		if err != nil {
			return orderChange{}, wrongPhaseError(old)
		}
		return orderChange{next: next}, nil
	})
}

// Report applies a report of a machine's phase. A report of draining requires the fencing token of the machine's
// lease. Errors wrap ErrOrderNotFound, maintenance.ErrWrongPhase, kv.ErrFenced or ErrConflict.
func (c *Controller) Report(ctx context.Context, machine string, report maintenance.PhaseReport) error {
	apply := func(old *maintenance.Order) (orderChange, error) {
		if old == nil {
			return orderChange{}, ErrOrderNotFound
		}
		next, changed, err := old.ApplyReport(report)
		if err != nil {
			return orderChange{}, wrongPhaseError(old)
		}
		return orderChange{next: &next, unchanged: !changed}, nil
	}
	return c.changeOrder(ctx, machine, apply, fencesFor(machine, report)...)
}

// wrongPhaseError returns ErrWrongPhase with the order's current phase.
func wrongPhaseError(o *maintenance.Order) error {
	return fmt.Errorf("%w: %s", maintenance.ErrWrongPhase, o.Phase)
}

// fencesFor returns the fencing tokens that a report must hold.
func fencesFor(machine string, report maintenance.PhaseReport) []lease.FencingToken {
	if report.Phase != maintenance.PhaseDraining {
		return nil
	}
	return []lease.FencingToken{{Name: MachineLeasePrefix + machine, Token: report.GrantToken}}
}

// orderChange is a change of an order.
type orderChange struct {
	next      *maintenance.Order // new value; nil deletes the order
	unchanged bool               // the order stays as it is; next is ignored
}

// changeOrder applies change to a machine's order; old is nil if there is none. The error is ErrConflict if
// the order was changed concurrently.
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
	result, err := change(old)
	if err != nil || result.unchanged {
		return err
	}
	request := kv.Request{
		Fences: fences,
		If:     []kv.Compare{{Key: key, Revision: revision}},
		Then:   []kv.Op{kv.Delete(key)},
	}
	if result.next != nil {
		if old == nil || result.next.Phase != old.Phase {
			result.next.PhaseSinceMS = time.Now().UnixMilli()
		}
		request.Then = []kv.Op{putOrder(*result.next)}
	}
	return c.executeIfUnchanged(request)
}

// readOrder reads an order and its revision. It returns nil and 0 if there is no order.
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

// executeIfUnchanged executes a request. The error is ErrConflict if one of its comparisons fails.
func (c *Controller) executeIfUnchanged(request kv.Request) error {
	response, err := c.store.Execute(request)
	if err == nil && !response.Succeeded {
		return ErrConflict
	}
	return err
}
