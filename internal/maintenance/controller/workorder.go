// Package controller keeps an order of work on machines in the replicated store, and has it
// go on: whoever holds the lease work/order decides by internal/maintenance, from what is in the
// store alone.
package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/maintenance"
)

// Keys of the store.
const (
	ControllerLease    = "work/order"    // the lease of who decides
	MachineLeasePrefix = "work/machine/" // and a name: that machine is about to leave
	BudgetKey          = "config/work"   // what an operator sets of the limits
	keyJob             = kv.ReservedPrefix + "work/job/"
	keyPause           = kv.ReservedPrefix + "work/pause"
	keyMachine         = kv.StatePrefix + "work/" // and a name: what a machine says of itself
)

const (
	decideEvery = 200 * time.Millisecond
	listenEvery = 200 * time.Millisecond
	awayAfter   = 5 // beats that a machine misses before it counts as away
	stepsMost   = kv.MaxOps / 2
)

var (
	// ErrWrongPhase: the machine is further than what was asked allows.
	ErrWrongPhase = errors.New("the machine's work is further on")
	// ErrOrderNotFound: nothing is asked for that machine.
	ErrOrderNotFound = errors.New("no work is asked for on this machine")
	// ErrConflict: somebody else changed it at the same time; look again.
	ErrConflict = errors.New("it was changed at the same time")
)

// Controller is one node's part in it.
type Controller struct {
	store *store.Store
	log   *zap.Logger

	stop  context.CancelFunc
	ended sync.WaitGroup

	mu    sync.Mutex
	heard map[string]heard
}

// heard is when this node noticed a machine's last beat, by its own monotonic clock: no
// two machines' clocks are compared.
type heard struct {
	number uint64
	at     time.Time
	times  int // beats noticed: the first may be an old one
}

// New is one for a node. It listens to what machines say from now on, so that it knows how
// old that is.
func New(s *store.Store, log *zap.Logger) *Controller {
	ctx, stop := context.WithCancel(context.Background())
	o := &Controller{store: s, log: log, heard: map[string]heard{}, stop: stop}
	o.ended.Go(func() { o.listen(ctx) })
	return o
}

// Close has it listen no more.
func (o *Controller) Close() {
	o.stop()
	o.ended.Wait()
}

// listen notes beats as they come, while this node is up to date: what it reads of a log
// that it catches up with was said long ago.
func (o *Controller) listen(ctx context.Context) {
	tick := time.NewTicker(listenEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if len(o.beats()) == 0 {
			continue // nobody takes part: nothing is asked of the others
		}
		if _, err := o.store.WaitFresh(ctx, store.Freshness{MaxStaleness: time.Second}); err == nil {
			o.machines(o.beats(), nil)
		}
	}
}

// beats are the last words of all machines, as this node knows them.
func (o *Controller) beats() (list []maintenance.Heartbeat) {
	all, _ := o.store.Entries()
	for key, e := range all {
		var b maintenance.Heartbeat
		if strings.HasPrefix(key, keyMachine) && json.Unmarshal(e.Value, &b) == nil { // one that can't be read is none
			list = append(list, b)
		}
	}
	return list
}

// read is all that the store has of the order, with the revisions of the jobs.
type read struct {
	view      maintenance.Observation
	revisions map[string]uint64
	pause     uint64
}

func (o *Controller) read(ctx context.Context) (r read, err error) {
	if _, err := o.store.WaitFresh(ctx, store.Freshness{}); err != nil {
		return r, err
	}
	r.revisions = map[string]uint64{}
	r.view = maintenance.Observation{NowMS: time.Now().UnixMilli(), Budget: maintenance.DefaultDisruptionBudget()}
	all, _ := o.store.Entries()
	if e, ok := all[keyPause]; ok {
		if r.pause = e.ModRevision; json.Unmarshal(e.Value, &r.view.Pause) != nil {
			return r, fmt.Errorf("%s: can't be read", keyPause)
		}
	}
	if e, ok := all[BudgetKey]; ok {
		l := maintenance.DefaultDisruptionBudget()
		err := json.Unmarshal(e.Value, &l)
		if err == nil {
			err = l.Validate()
		}
		if err == nil {
			r.view.Budget = l
		} else { // nobody goes by limits that nobody meant
			r.view.Pause.Paused, r.view.Pause.Reason = true, fmt.Sprintf("%s: %v", BudgetKey, err)
		}
	}
	for key, e := range all {
		if !strings.HasPrefix(key, keyJob) {
			continue
		}
		var j maintenance.Order
		if err := json.Unmarshal(e.Value, &j); err != nil {
			return r, fmt.Errorf("%s: %w", key, err)
		}
		r.view.Orders, r.revisions[j.Node] = append(r.view.Orders, j), e.ModRevision
	}
	slices.SortFunc(r.view.Orders, func(a, b maintenance.Order) int { return strings.Compare(a.Node, b.Node) })
	r.view.Machines = o.machines(o.beats(), r.view.Orders)
	return r, nil
}

// machines are the beats with what this node knows of their age.
func (o *Controller) machines(beats []maintenance.Heartbeat, jobs []maintenance.Order) (list []maintenance.Machine) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for _, b := range beats {
		h, known := o.heard[b.Name]
		if !known || h.number != b.Sequence {
			h = heard{number: b.Sequence, at: now, times: h.times + 1}
			o.heard[b.Name] = h
		}
		m := b.Machine
		age := now.Sub(h.at)
		if m.UtilizationAgeMS = age.Milliseconds(); h.times < 2 {
			m.UtilizationAgeMS, m.State = -1, maintenance.MachineUnreachable // it may have said this long ago
		}
		if age > awayAfter*time.Duration(b.IntervalMS)*time.Millisecond {
			m.State = maintenance.MachineUnreachable
		}
		// What it said before it left is nothing that it says now.
		if i := slices.IndexFunc(jobs, func(j maintenance.Order) bool { return j.Node == m.Name }); i >= 0 && jobs[i].Phase == maintenance.PhaseReturned && b.GrantToken != jobs[i].GrantToken && m.State == maintenance.MachineInService {
			m.State = maintenance.MachineWarmingUp
		}
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b maintenance.Machine) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Run decides under a lease until ctx ends.
func (o *Controller) Run(ctx context.Context, held lease.FencingToken) error {
	tick := time.NewTicker(decideEvery)
	defer tick.Stop()
	for {
		if err := o.step(ctx, held); err != nil && ctx.Err() == nil {
			if errors.Is(err, kv.ErrFenced) {
				return err
			}
			o.log.Warn("order of work", zap.Error(err)) // asked again
			time.Sleep(decideEvery)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// idle tells whether nothing is asked for, as this node knows it.
func (o *Controller) idle() bool {
	all, _ := o.store.Entries()
	for key := range all {
		if strings.HasPrefix(key, keyJob) {
			return false
		}
	}
	return true
}

func (o *Controller) step(ctx context.Context, held lease.FencingToken) error {
	if o.idle() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	r, err := o.read(ctx)
	if err != nil {
		return err
	}
	d := maintenance.Decide(r.view)
	if len(d.Transitions) == 0 && d.PauseReason == "" {
		return nil
	}
	// All that was decided on is compared, and the lease's token too: a decider that stood
	// still changes nothing.
	q := kv.Request{Fences: []lease.FencingToken{held}, If: []kv.Compare{{Key: keyPause, Revision: r.pause}}}
	for _, s := range d.Transitions[:min(len(d.Transitions), stepsMost)] {
		j := r.view.Orders[slices.IndexFunc(r.view.Orders, func(j maintenance.Order) bool { return j.Node == s.Node })]
		q.If = append(q.If, kv.Compare{Key: keyJob + s.Node, Revision: r.revisions[s.Node]})
		j.Phase, j.PhaseReason, j.PhaseSinceMS = s.To, s.Reason, r.view.NowMS
		q.Then = append(q.Then, putJob(j))
		o.log.Info("work", zap.String("machine", s.Node), zap.String("state", string(s.To)), zap.String("why", s.Reason))
	}
	if d.PauseReason != "" {
		q.Then = append(q.Then, put(keyPause, maintenance.Pause{Paused: true, Reason: d.PauseReason, AcknowledgedFailures: r.view.Pause.AcknowledgedFailures}))
		o.log.Error("order of work is paused", zap.String("why", d.PauseReason))
	}
	return o.store.ExecuteAnywhere(ctx, q)
}

// MayWrite tells whether a key is one that whoever has the order's lease may write, and the
// request rests on that lease.
func MayWrite(fence []lease.FencingToken, key string) bool {
	return strings.HasPrefix(key, kv.ReservedPrefix+"work/") && slices.ContainsFunc(fence, func(h lease.FencingToken) bool { return h.Name == ControllerLease })
}

func put(key string, v any) kv.Op {
	text, _ := json.Marshal(v) // of this package's own types
	return kv.Op{Kind: "put", Key: key, Value: text}
}

func putJob(j maintenance.Order) kv.Op { return put(keyJob+j.Node, j) }

// Submit asks for work on a machine; only the leader can, as with all that follows.
func (o *Controller) Submit(ctx context.Context, j maintenance.Order) (maintenance.Order, error) {
	j.Phase, j.GrantToken, j.PhaseReason = maintenance.PhaseRequested, 0, ""
	if err := j.Validate(); err != nil {
		return j, err
	}
	return j, o.change(ctx, j.Node, func(old *maintenance.Order) (*maintenance.Order, error) {
		if old != nil && old.Phase.Open() {
			return nil, fmt.Errorf("%w: %s", ErrWrongPhase, old.Phase)
		}
		j.RequestedMS = time.Now().UnixMilli()
		j.PhaseSinceMS, j.Ticket = j.RequestedMS, o.store.AppliedRevision()
		return &j, nil
	})
}

// Cancel takes a request back, unless the machine goes already. One that failed loses its
// place.
func (o *Controller) Cancel(ctx context.Context, node string) error {
	return o.change(ctx, node, func(old *maintenance.Order) (*maintenance.Order, error) {
		switch {
		case old == nil || !old.Phase.Open():
			return nil, ErrOrderNotFound
		case old.Phase == maintenance.PhaseFailed:
			j := *old
			j.Phase = maintenance.PhaseAbandoned
			return &j, nil
		case old.Phase != maintenance.PhaseRequested && old.Phase != maintenance.PhaseGranted:
			return nil, fmt.Errorf("%w: %s", ErrWrongPhase, old.Phase)
		}
		return nil, nil
	})
}

// Report notes it. A machine that confirms needs its lease, and the grant must still be there.
func (o *Controller) Report(ctx context.Context, node string, r maintenance.PhaseReport) error {
	return o.change(ctx, node, func(old *maintenance.Order) (*maintenance.Order, error) {
		if old == nil {
			return nil, ErrOrderNotFound
		}
		j := *old
		ok := false
		switch r.Phase {
		case maintenance.PhaseDraining:
			ok = old.Phase == maintenance.PhaseGranted && r.GrantToken != 0
			j.GrantToken = r.GrantToken
		case maintenance.PhaseOut:
			ok = old.Phase == maintenance.PhaseDraining && r.GrantToken == old.GrantToken
		case maintenance.PhaseReturned: // also an operator says so
			ok = old.Phase == maintenance.PhaseDraining || old.Phase == maintenance.PhaseOut || old.Phase == maintenance.PhaseFailed
		case maintenance.PhaseFailed:
			ok = (old.Phase == maintenance.PhaseDraining || old.Phase == maintenance.PhaseOut || old.Phase == maintenance.PhaseReturned) && r.GrantToken == old.GrantToken
		}
		if old.Phase == r.Phase && (r.GrantToken == 0 || r.GrantToken == old.GrantToken) {
			return old, nil // said again, as the answer was lost
		}
		if !ok {
			return nil, fmt.Errorf("%w: %s", ErrWrongPhase, old.Phase)
		}
		j.Phase, j.PhaseReason = r.Phase, r.Reason
		return &j, nil
	}, fenceOf(node, r)...)
}

func fenceOf(node string, r maintenance.PhaseReport) []lease.FencingToken {
	if r.Phase != maintenance.PhaseDraining {
		return nil
	}
	return []lease.FencingToken{{Name: MachineLeasePrefix + node, Token: r.GrantToken}}
}

// change turns a job into another one, or into none, if nobody else does at the same time.
func (o *Controller) change(ctx context.Context, node string, to func(*maintenance.Order) (*maintenance.Order, error), fence ...lease.FencingToken) error {
	if _, err := o.store.WaitFresh(ctx, store.Freshness{}); err != nil {
		return err
	}
	key := keyJob + node
	var old *maintenance.Order
	e, there := o.store.Entry(key)
	if there {
		old = &maintenance.Order{}
		if err := json.Unmarshal(e.Value, old); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	next, err := to(old)
	if err != nil || next == old && old != nil {
		return err
	}
	q := kv.Request{Fences: fence, If: []kv.Compare{{Key: key, Revision: e.ModRevision}}, Then: []kv.Op{{Kind: "delete", Key: key}}}
	if !there {
		q.If[0].Revision = 0
	}
	if next != nil {
		if old == nil || next.Phase != old.Phase {
			next.PhaseSinceMS = time.Now().UnixMilli()
		}
		q.Then[0] = putJob(*next)
	}
	a, err := o.store.Execute(q)
	if err == nil && !a.Succeeded {
		err = ErrConflict
	}
	return err
}

// SetPause pauses the order, or has it go on; what has failed by then is seen.
func (o *Controller) SetPause(ctx context.Context, paused bool, why string) error {
	r, err := o.read(ctx)
	if err != nil {
		return err
	}
	p := maintenance.Pause{Paused: paused, Reason: why}
	for _, j := range r.view.Orders {
		if j.Phase == maintenance.PhaseFailed || j.Phase == maintenance.PhaseAbandoned {
			p.AcknowledgedFailures = append(p.AcknowledgedFailures, j.Node)
		}
	}
	if paused {
		p.AcknowledgedFailures = r.view.Pause.AcknowledgedFailures
	}
	a, err := o.store.Execute(kv.Request{If: []kv.Compare{{Key: keyPause, Revision: r.pause}}, Then: []kv.Op{put(keyPause, p)}})
	if err == nil && !a.Succeeded {
		err = ErrConflict
	}
	return err
}

// RecordHeartbeat notes what a machine says of itself, and answers with its job, if there is one.
func (o *Controller) RecordHeartbeat(ctx context.Context, b maintenance.Heartbeat) (*maintenance.Order, error) {
	if err := (maintenance.Order{Node: b.Name, DurationMS: 1000}).Validate(); err != nil {
		return nil, err
	}
	if b.IntervalMS < 50 || b.IntervalMS > 600_000 || b.Cores < 0 || b.Speed < 0 {
		return nil, fmt.Errorf("%w: every_ms: want 50 to 600000; cores, speed: below 0", maintenance.ErrInvalidOrder)
	}
	if _, err := o.store.Execute(kv.Request{Then: []kv.Op{put(keyMachine+b.Name, b)}}); err != nil {
		return nil, err
	}
	e, ok := o.store.Entry(keyJob + b.Name)
	if !ok {
		return nil, nil
	}
	j := &maintenance.Order{}
	return j, json.Unmarshal(e.Value, j)
}

// Status is all of it.
func (o *Controller) Status(ctx context.Context) (s maintenance.Status, err error) {
	r, err := o.read(ctx)
	if err != nil {
		return s, err
	}
	held, _, err := o.store.Leases(ctx, ControllerLease)
	if err != nil {
		return s, err
	}
	d := maintenance.Decide(r.view)
	s = maintenance.Status{Controller: held[ControllerLease].Holder, Pause: r.view.Pause, Budget: r.view.Budget, HeadOfQueue: d.HeadOfQueue, WaitReason: d.WaitReasons[d.HeadOfQueue], Machines: r.view.Machines, Orders: []maintenance.OrderStatus{}}
	for _, j := range r.view.Orders {
		s.Orders = append(s.Orders, maintenance.OrderStatus{Order: j, WaitReason: d.WaitReasons[j.Node]})
	}
	return s, nil
}
