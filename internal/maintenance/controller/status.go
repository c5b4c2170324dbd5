package controller

import (
	"context"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/maintenance"
)

// SetPause pauses or resumes maintenance. Resuming acknowledges all current failures.
func (c *Controller) SetPause(ctx context.Context, paused bool, reason string) error {
	s, err := c.readSnapshot(ctx)
	if err != nil {
		return err
	}
	pause := maintenance.Pause{Paused: paused, Reason: reason}
	if paused {
		pause.AcknowledgedFailures = s.observation.Pause.AcknowledgedFailures
	} else {
		pause.AcknowledgedFailures = failedMachines(s.observation.Orders)
	}
	return c.executeIfUnchanged(kv.Request{
		If:   []kv.Compare{{Key: pauseKey, Revision: s.pauseRevision}},
		Then: []kv.Op{putJSON(pauseKey, pause)},
	})
}

func failedMachines(orders []maintenance.Order) (machines []string) {
	for _, o := range orders {
		if o.Phase == maintenance.PhaseFailed || o.Phase == maintenance.PhaseAbandoned {
			machines = append(machines, o.Machine)
		}
	}
	return machines
}

// Status returns all orders and machines, and why each waiting order is not granted.
func (c *Controller) Status(ctx context.Context) (status maintenance.Status, err error) {
	s, err := c.readSnapshot(ctx)
	if err != nil {
		return status, err
	}
	held, _, err := c.store.Leases(ctx, ControllerLease)
	if err != nil {
		return status, err
	}
	decision := s.decide()
	status = maintenance.Status{
		Controller:  held[ControllerLease].Holder,
		Pause:       s.observation.Pause,
		Budget:      s.observation.Budget,
		HeadOfQueue: decision.HeadOfQueue,
		WaitReason:  decision.WaitReasons[decision.HeadOfQueue],
		Orders:      []maintenance.OrderStatus{},
		Machines:    s.observation.Machines,
	}
	for _, o := range s.observation.Orders {
		status.Orders = append(status.Orders, maintenance.OrderStatus{Order: o, WaitReason: decision.WaitReasons[o.Machine]})
	}
	return status, nil
}
