package controller

import (
	"slices"
	"time"

	"oxbowbridge/internal/maintenance"
)

// observedOrder holds the times at which this node first saw an order and its last change, on its own monotonic clock.
// As with heartbeats, the clocks of two machines are never compared.
type observedOrder struct {
	ticket      uint64 // ticket of the order; another ticket means a new order
	revision    uint64 // store revision of the last change
	requestedAt time.Time
	phaseAt     time.Time
}

// ordersInLocalTime records orders that are new or have changed as observed now. It returns all orders with the times
// at which this node observed them; the stored orders keep the times of the nodes that wrote them. On a node that was
// started later, the times start over, so a timeout can become longer but never shorter.
func (c *Controller) ordersInLocalTime(s snapshot, now time.Time) []maintenance.Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	orders := slices.Clone(s.observation.Orders)
	observed := make(map[string]observedOrder, len(orders))
	for i, o := range orders {
		observation := c.observeOrder(o, s.orderRevisions[o.Machine], now)
		observed[o.Machine] = observation
		orders[i].PhaseSinceMS = s.observation.NowMS - now.Sub(observation.phaseAt).Milliseconds()
		orders[i].RequestedMS = s.observation.NowMS - now.Sub(observation.requestedAt).Milliseconds()
	}
	c.observedOrders = observed
	return orders
}

// observeOrder returns the observation of an order. If the order was read before its last observed change, it returns
// the existing observation. c.mu must be held.
func (c *Controller) observeOrder(o maintenance.Order, revision uint64, now time.Time) observedOrder {
	previous, known := c.observedOrders[o.Machine]
	if known && revision <= previous.revision {
		return previous
	}
	next := observedOrder{ticket: o.Ticket, revision: revision, requestedAt: now, phaseAt: now}
	if known && previous.ticket == o.Ticket {
		next.requestedAt = previous.requestedAt
	}
	return next
}

// observeOrders records changes of the orders. It records nothing if an order can't be decoded; the next decision
// fails with that error and logs it.
func (c *Controller) observeOrders() {
	entries, _ := c.store.Entries()
	var s snapshot
	if err := s.readOrders(entries); err == nil {
		c.ordersInLocalTime(s, time.Now())
	}
}
