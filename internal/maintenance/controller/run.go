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
	// maxTransitions is how many transitions one request to the store carries out.
	maxTransitions = kv.MaxOps / 2
	maxSummarized  = 5 // transitions that a line of the log names, of a decision that was not carried out
)

// Run decides under ControllerLease until ctx, which ends with the lease, ends. A write that finds the lease
// lost ends it at once, on any node, with kv.ErrFenced.
func (c *Controller) Run(ctx context.Context, fence lease.FencingToken) error {
	tick := time.NewTicker(decisionInterval)
	defer tick.Stop()
	for {
		if err := c.decideOnce(ctx, fence); err != nil && ctx.Err() == nil {
			if errors.Is(err, kv.ErrFenced) {
				return err
			}
			c.log.Warn("maintenance decision failed", zap.Int64("retry_in_ms", decisionInterval.Milliseconds()), zap.Error(err))
			time.Sleep(decisionInterval) // besides the wait for the next tick
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// decideOnce carries out what is to be done now. If anything that was decided on has changed meanwhile,
// the store changes nothing, and the next tick decides anew.
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
	return c.carryOut(ctx, decision, s, fence)
}

// carryOut writes a decision, and logs it once it is in the store. After any error but kv.ErrFenced it may be
// there all the same; the error then says what was decided.
func (c *Controller) carryOut(ctx context.Context, decision maintenance.Decision, s snapshot, fence lease.FencingToken) error {
	response, err := c.store.ExecuteOrForward(ctx, requestFor(decision, s, fence))
	if err != nil {
		return fmt.Errorf("%s: %w", summary(decision), err)
	}
	if !response.Succeeded {
		c.log.Info("maintenance decision refused, something it rests on has changed", zap.String("decision", summary(decision)))
		return nil
	}
	c.logDecision(decision)
	return nil
}

// summary names what a decision changes, in short.
func summary(decision maintenance.Decision) string {
	var changes []string
	for _, t := range decision.Transitions[:min(len(decision.Transitions), maxSummarized)] {
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

// requestFor returns a decision as a request, which is carried out only if the lease is held and nothing
// that was decided on has changed.
func requestFor(decision maintenance.Decision, s snapshot, fence lease.FencingToken) kv.Request {
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

// logDecision logs a decision that the store has carried out.
func (c *Controller) logDecision(decision maintenance.Decision) {
	for _, t := range decision.Transitions {
		c.log.Info("maintenance order changes phase", zap.String("machine", t.Machine), zap.Stringer("phase", t.To), zap.String("reason", t.Reason))
	}
	if decision.PauseReason != "" {
		c.log.Error("maintenance paused", zap.String("reason", decision.PauseReason))
	}
}

// hasOrders reports whether there is any order in this node's state, which may be behind.
func (c *Controller) hasOrders() bool {
	entries, _ := c.store.Entries()
	for key := range entries {
		if strings.HasPrefix(key, orderPrefix) {
			return true
		}
	}
	return false
}
