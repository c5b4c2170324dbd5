package leaseclient

import (
	"context"
	"slices"
	"time"

	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/storeapi"
)

// renewalWindowDivisor approximates the time from when a keep-alive is due, a third of the TTL after the last one,
// to the holder's deadline as TTL/renewalWindowDivisor. The exact fraction is 1 - lease.SafetyMargin - 1/3 = 0.47.
const renewalWindowDivisor = 2

const (
	maxRenewalTimeout  = 2 * time.Second        // timeout of a keep-alive
	maxRenewalWait     = time.Second            // maximum time between two checks for due renewals
	maxRenewalBackoff  = 125 * time.Millisecond // maximum backoff after a failed keep-alive
	renewalAttempts    = 4                      // keep-alives that can be sent between the due time and the holder's deadline
	renewalBatchWindow = 0.1                    // fraction of the TTL by which a keep-alive may be sent early, in a batch with others
)

// renewalLoop renews all leases until the manager is closed.
func (m *Manager) renewalLoop() {
	failed := false
	for {
		batch := m.dueRenewals()
		if len(batch.leases) == 0 {
			select {
			case <-m.ctx.Done():
				return
			case <-m.leaseAdded:
			case <-time.After(batch.nextCheck):
			}
			continue
		}
		for chunk := range slices.Chunk(batch.leases, storeapi.MaxRenewals) {
			failed = !m.renew(chunk, batch.timeout, failed)
		}
		if failed {
			select {
			case <-m.ctx.Done():
				return
			case <-time.After(min(batch.timeout/2, maxRenewalBackoff)):
			}
		}
	}
}

// renewalBatch contains the leases to renew now.
type renewalBatch struct {
	leases    []lease.FencingToken
	timeout   time.Duration // timeout of the keep-alive
	nextCheck time.Duration // time until the next check, if there are no leases to renew
}

// dueRenewals returns the leases whose keep-alive is due. If there are any, the batch also contains the leases
// whose keep-alive is due within renewalBatchWindow.
func (m *Manager) dueRenewals() renewalBatch {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	batch := renewalBatch{timeout: maxRenewalTimeout, nextCheck: maxRenewalWait}
	anyDue := false
	for _, l := range m.leases {
		if l.state.Token == 0 {
			continue
		}
		if dueAt := l.state.RenewalDue(); dueAt <= now {
			anyDue = true
		} else {
			batch.nextCheck = min(batch.nextCheck, dueAt-now)
		}
		early := time.Duration(float64(l.ttl) * renewalBatchWindow)
		if l.state.ShouldRenew(now + early) {
			batch.leases = append(batch.leases, l.FencingToken())
			batch.timeout = min(batch.timeout, l.ttl/(renewalWindowDivisor*renewalAttempts))
		}
	}
	if !anyDue {
		batch.leases = nil
	}
	return batch
}

// renew sends one keep-alive for a batch of leases, and reports whether it was answered. With nextNode, it sends
// the keep-alive to the next node.
func (m *Manager) renew(leases []lease.FencingToken, timeout time.Duration, nextNode bool) bool {
	ctx, cancel := context.WithTimeout(m.ctx, timeout)
	defer cancel()
	sentAt := m.now()
	lost, err := m.node(nextNode).RenewLeases(ctx, leases)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, renewed := range leases {
		l := m.leases[renewed.Name]
		if l == nil || l.state.Token != renewed.Token {
			continue // released, or granted under a new token, in the meantime
		}
		l.renewalError = err
		if err != nil {
			continue
		}
		if slices.Contains(lost, renewed.Name) {
			l.endLocked(l.lostError())
		} else {
			l.state.RecordGrant(renewed.Token, sentAt)
		}
	}
	return err == nil
}
