package maintenance

import (
	"cmp"
	"fmt"
	"slices"
)

// Observation is the complete input of a decision.
type Observation struct {
	NowMS    int64 // Unix time
	Machines []Machine
	Orders   []Order
	Budget   DisruptionBudget
	Pause    Pause
}

// machinesByName returns the machines, indexed by name.
func (obs Observation) machinesByName() map[string]Machine {
	machines := make(map[string]Machine, len(obs.Machines))
	for _, m := range obs.Machines {
		machines[m.Name] = m
	}
	return machines
}

// Transition moves a machine's order into another phase.
type Transition struct {
	Machine string
	To      Phase
	Reason  string
}

// Decision is the set of changes to make now, and the reasons why other orders wait.
type Decision struct {
	Transitions []Transition
	PauseReason string            // if not empty, maintenance must pause
	WaitReasons map[string]string // why each waiting order is not granted, by machine
	HeadOfQueue string            // machine of the first order in the queue that is not granted
}

// Decide returns the changes to make now: the transitions that are due, then grants in queue order as
// long as the budget allows.
func Decide(obs Observation) Decision {
	d := Decision{WaitReasons: map[string]string{}}
	orders := slices.Clone(obs.Orders)
	machines := obs.machinesByName()
	d.addTimedTransitions(obs, orders, machines)
	if !obs.Pause.Paused {
		d.PauseReason = tooManyFailures(obs, orders)
	}
	blockedReason := blockedByPause(obs.Pause, d.PauseReason)
	usage := newBudgetUsage(obs, orders, machines)
	for i, o := range Queue(orders) {
		reason := blockedReason
		if reason == "" {
			reason = usage.waitReason(o)
		}
		if reason == "" {
			d.Transitions = append(d.Transitions, Transition{Machine: o.Machine, To: PhaseGranted})
			usage.grant(o.Machine)
			continue
		}
		d.WaitReasons[o.Machine] = reason
		if d.HeadOfQueue == "" {
			d.HeadOfQueue = o.Machine
		}
		overtakenTooLong := i == 0 && usage.isInService(o.Machine) && obs.NowMS-o.RequestedMS > obs.Budget.MaxOvertakingMS
		if blockedReason == "" && overtakenTooLong {
			blockedReason = o.Machine + " has waited for long and goes first"
		}
	}
	return d
}

// addTimedTransitions adds the transitions that are due to the decision, and applies them to orders.
func (d *Decision) addTimedTransitions(obs Observation, orders []Order, machines map[string]Machine) {
	for i, o := range orders {
		to, reason := timedTransition(o, machines[o.Machine], obs)
		if to == "" {
			continue
		}
		d.Transitions = append(d.Transitions, Transition{o.Machine, to, reason})
		orders[i].Phase = to
		orders[i].PhaseSinceMS = obs.NowMS
	}
}

// tooManyFailures returns why maintenance must pause: at least MaxFailures machines failed that no
// operator has acknowledged. It returns "" if there are fewer.
func tooManyFailures(obs Observation, orders []Order) string {
	failures := 0
	for _, o := range orders {
		failed := o.Phase == PhaseFailed || o.Phase == PhaseAbandoned
		if failed && !slices.Contains(obs.Pause.AcknowledgedFailures, o.Machine) {
			failures++
		}
	}
	if failures < obs.Budget.MaxFailures {
		return ""
	}
	return fmt.Sprintf("%d machines failed to return", failures)
}

// blockedByPause returns why no order can be granted: maintenance is paused, or must pause now. It
// returns "" if neither holds.
func blockedByPause(pause Pause, pauseNow string) string {
	switch {
	case pause.Paused:
		return "the order is paused: " + pause.Reason
	case pauseNow != "":
		return "the order is paused: " + pauseNow
	}
	return ""
}

// Queue returns the orders that wait for a grant, sorted by descending priority, then by time of
// arrival.
func Queue(orders []Order) (queue []Order) {
	for _, o := range orders {
		if o.Phase == PhaseRequested {
			queue = append(queue, o)
		}
	}
	slices.SortFunc(queue, func(a, b Order) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Ticket, b.Ticket), cmp.Compare(a.Machine, b.Machine))
	})
	return queue
}
