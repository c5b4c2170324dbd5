package controller

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/maintenance"
)

const (
	decisionInterval = 200 * time.Millisecond
	decisionTimeout  = 3 * time.Second
	// maxTransitions is the maximum number of transitions in one request to the store.
	maxTransitions           = kv.MaxOps / 2
	maxSummarizedTransitions = 5 // transitions named in the log or in an error when a decision was not written
)

// Run makes and writes decisions under ControllerLease until ctx ends, which must end with the lease. It returns
// kv.ErrFenced as soon as a write finds that the lease is lost, also if this node is a follower.
func (c *Controller) Run(ctx context.Context, fence lease.FencingToken) error {
	tick := time.NewTicker(decisionInterval)
	defer tick.Stop()
	for {
		if err := c.decideOnce(ctx, fence); err != nil && ctx.Err() == nil {
			if errors.Is(err, kv.ErrFenced) {
				return err
			}
			c.log.Warn("maintenance decision failed", zap.Int64("retry_in_ms", decisionInterval.Milliseconds()), zap.Error(err))
			time.Sleep(decisionInterval) // in addition to the wait for the next tick
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// decideOnce makes one decision and writes it. If an order or the pause has changed since it was read, the store
// writes nothing, and the next tick makes a new decision.
func (c *Controller) decideOnce(ctx context.Context, fence lease.FencingToken) error {
	if !c.hasOrders() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	s, err := c.readSnapshot(ctx)
	if err != nil {
		return err
	}
	decision := s.decide()
	if len(decision.Transitions) == 0 && decision.PauseReason == "" {
		return nil
	}
	decision.Transitions = decision.Transitions[:min(len(decision.Transitions), maxTransitions)]
	return c.writeDecision(ctx, decision, s, fence)
}

// writeDecision writes a decision to the store, and logs it once it is written. After an error other than kv.ErrFenced,
// the decision may have been written, so the error names its changes.
func (c *Controller) writeDecision(ctx context.Context, decision maintenance.Decision, s snapshot, fence lease.FencingToken) error {
	response, err := c.store.ExecuteOrForward(ctx, decisionRequest(decision, s, fence))
	if err != nil {
		return fmt.Errorf("%s: %w", summary(decision), err)
	}
	if !response.Succeeded {
		c.log.Info("maintenance decision rejected, an order or the pause has changed", zap.String("decision", summary(decision)))
		return nil
	}
	c.logDecision(decision)
	return nil
}

// summary returns a short list of a decision's changes.
func summary(decision maintenance.Decision) string {
	var changes []string
	for _, t := range decision.Transitions[:min(len(decision.Transitions), maxSummarizedTransitions)] {
		changes = append(changes, fmt.Sprintf("%s to %s", t.Machine, t.To))
	}
	if more := len(decision.Transitions) - len(changes); more > 0 {
		changes = append(changes, fmt.Sprintf("%d more", more))
	}
	if decision.PauseReason != "" {
		changes = append(changes, "pause")
	}
	return strings.Join(changes, ", ")
}

// decisionRequest returns the store request that writes a decision. It takes effect only if the lease is still held
// and if neither the pause nor any order that the decision changes has changed since the snapshot.
func decisionRequest(decision maintenance.Decision, s snapshot, fence lease.FencingToken) kv.Request {
	request := kv.Request{
		Fences: []lease.FencingToken{fence},
		If:     []kv.Compare{{Key: pauseKey, Revision: s.pauseRevision}},
	}
	for _, t := range decision.Transitions {
		o := s.order(t.Machine)
		o.Phase = t.To
		o.PhaseReason = t.Reason
		o.PhaseSinceMS = s.observation.NowMS
		request.If = append(request.If, kv.Compare{Key: orderPrefix + t.Machine, Revision: s.orderRevisions[t.Machine]})
		request.Then = append(request.Then, putOrder(o))
	}
	if decision.PauseReason != "" {
		pause := maintenance.Pause{
			Paused:               true,
			Reason:               decision.PauseReason,
			AcknowledgedFailures: s.observation.Pause.AcknowledgedFailures,
		}
		request.Then = append(request.Then, putJSON(pauseKey, pause))
	}
	return request
}

// logDecision logs a decision that has been written to the store.
func (c *Controller) logDecision(decision maintenance.Decision) {
	for _, t := range decision.Transitions {
		c.log.Info("maintenance order changes phase", zap.String("machine", t.Machine), zap.Stringer("phase", t.To), zap.String("reason", t.Reason))
	}
	if decision.PauseReason != "" {
		c.log.Error("maintenance paused", zap.String("reason", decision.PauseReason))
	}
}

// hasOrders reports whether there is any order in this node's state, which may be stale.
func (c *Controller) hasOrders() bool {
	entries, _ := c.store.Entries()
	for key := range entries {
		if strings.HasPrefix(key, orderPrefix) {
			return true
		}
	}
	return false
}
