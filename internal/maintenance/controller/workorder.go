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
	LeaseOrder = "work/order"    // the lease of who decides
	LeaseNode  = "work/machine/" // and a name: that machine is about to leave
	KeyLimits  = "config/work"   // what an operator sets of the limits
	keyJob     = kv.Reserved + "work/job/"
	keyPause   = kv.Reserved + "work/pause"
	keyMachine = kv.StatePart + "work/" // and a name: what a machine says of itself
)

const (
	decideEvery = 200 * time.Millisecond
	listenEvery = 200 * time.Millisecond
	awayAfter   = 5 // beats that a machine misses before it counts as away
	stepsMost   = kv.Ops / 2
)

var (
	// ErrBusy: the machine is further than what was asked allows.
	ErrBusy = errors.New("the machine's work is further on")
	// ErrNone: nothing is asked for that machine.
	ErrNone = errors.New("no work is asked for on this machine")
	// ErrRaced: somebody else changed it at the same time; look again.
	ErrRaced = errors.New("it was changed at the same time")
)

// Order is one node's part in it.
type Order struct {
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
func New(s *store.Store, log *zap.Logger) *Order {
	ctx, stop := context.WithCancel(context.Background())
	o := &Order{store: s, log: log, heard: map[string]heard{}, stop: stop}
	o.ended.Go(func() { o.listen(ctx) })
	return o
}

// Close has it listen no more.
func (o *Order) Close() {
	o.stop()
	o.ended.Wait()
}

// listen notes beats as they come, while this node is up to date: what it reads of a log
// that it catches up with was said long ago.
func (o *Order) listen(ctx context.Context) {
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
func (o *Order) beats() (list []maintenance.Beat) {
	all, _ := o.store.Entries()
	for key, e := range all {
		var b maintenance.Beat
		if strings.HasPrefix(key, keyMachine) && json.Unmarshal(e.Value, &b) == nil { // one that can't be read is none
			list = append(list, b)
		}
	}
	return list
}

// read is all that the store has of the order, with the revisions of the jobs.
type read struct {
	view      maintenance.View
	revisions map[string]uint64
	pause     uint64
}

func (o *Order) read(ctx context.Context) (r read, err error) {
	if _, err := o.store.WaitFresh(ctx, store.Freshness{}); err != nil {
		return r, err
	}
	r.revisions = map[string]uint64{}
	r.view = maintenance.View{NowMS: time.Now().UnixMilli(), Limits: maintenance.DefaultLimits()}
	all, _ := o.store.Entries()
	if e, ok := all[keyPause]; ok {
		if r.pause = e.Index; json.Unmarshal(e.Value, &r.view.Pause) != nil {
			return r, fmt.Errorf("%s: can't be read", keyPause)
		}
	}
	if e, ok := all[KeyLimits]; ok {
		l := maintenance.DefaultLimits()
		err := json.Unmarshal(e.Value, &l)
		if err == nil {
			err = l.Check()
		}
		if err == nil {
			r.view.Limits = l
		} else { // nobody goes by limits that nobody meant
			r.view.Pause.Paused, r.view.Pause.Why = true, fmt.Sprintf("%s: %v", KeyLimits, err)
		}
	}
	for key, e := range all {
		if !strings.HasPrefix(key, keyJob) {
			continue
		}
		var j maintenance.Job
		if err := json.Unmarshal(e.Value, &j); err != nil {
			return r, fmt.Errorf("%s: %w", key, err)
		}
		r.view.Jobs, r.revisions[j.Node] = append(r.view.Jobs, j), e.Index
	}
	slices.SortFunc(r.view.Jobs, func(a, b maintenance.Job) int { return strings.Compare(a.Node, b.Node) })
	r.view.Machines = o.machines(o.beats(), r.view.Jobs)
	return r, nil
}

// machines are the beats with what this node knows of their age.
func (o *Order) machines(beats []maintenance.Beat, jobs []maintenance.Job) (list []maintenance.Machine) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for _, b := range beats {
		h, known := o.heard[b.Name]
		if !known || h.number != b.Number {
			h = heard{number: b.Number, at: now, times: h.times + 1}
			o.heard[b.Name] = h
		}
		m := b.Machine
		age := now.Sub(h.at)
		if m.AgeMS = age.Milliseconds(); h.times < 2 {
			m.AgeMS, m.State = -1, maintenance.Away // it may have said this long ago
		}
		if age > awayAfter*time.Duration(b.EveryMS)*time.Millisecond {
			m.State = maintenance.Away
		}
		// What it said before it left is nothing that it says now.
		if i := slices.IndexFunc(jobs, func(j maintenance.Job) bool { return j.Node == m.Name }); i >= 0 && jobs[i].Phase == maintenance.Back && b.Grant != jobs[i].Grant && m.State == maintenance.In {
			m.State = maintenance.Cold
		}
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b maintenance.Machine) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Run decides under a lease until ctx ends.
func (o *Order) Run(ctx context.Context, held lease.Held) error {
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
func (o *Order) idle() bool {
	all, _ := o.store.Entries()
	for key := range all {
		if strings.HasPrefix(key, keyJob) {
			return false
		}
	}
	return true
}

func (o *Order) step(ctx context.Context, held lease.Held) error {
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
	if len(d.Steps) == 0 && d.Pause == "" {
		return nil
	}
	// All that was decided on is compared, and the lease's token too: a decider that stood
	// still changes nothing.
	q := kv.Request{Fence: []lease.Held{held}, If: []kv.Compare{{Key: keyPause, Revision: r.pause}}}
	for _, s := range d.Steps[:min(len(d.Steps), stepsMost)] {
		j := r.view.Jobs[slices.IndexFunc(r.view.Jobs, func(j maintenance.Job) bool { return j.Node == s.Node })]
		q.If = append(q.If, kv.Compare{Key: keyJob + s.Node, Revision: r.revisions[s.Node]})
		j.Phase, j.Why, j.SinceMS = s.To, s.Why, r.view.NowMS
		q.Then = append(q.Then, putJob(j))
		o.log.Info("work", zap.String("machine", s.Node), zap.String("state", string(s.To)), zap.String("why", s.Why))
	}
	if d.Pause != "" {
		q.Then = append(q.Then, put(keyPause, maintenance.Pause{Paused: true, Why: d.Pause, Seen: r.view.Pause.Seen}))
		o.log.Error("order of work is paused", zap.String("why", d.Pause))
	}
	return o.store.ExecuteAnywhere(ctx, q)
}

// Owns tells whether a key is one that whoever has the order's lease may write, and the
// request rests on that lease.
func Owns(fence []lease.Held, key string) bool {
	return strings.HasPrefix(key, kv.Reserved+"work/") && slices.ContainsFunc(fence, func(h lease.Held) bool { return h.Name == LeaseOrder })
}

func put(key string, v any) kv.Op {
	text, _ := json.Marshal(v) // of this package's own types
	return kv.Op{Do: "put", Key: key, Value: text}
}

func putJob(j maintenance.Job) kv.Op { return put(keyJob+j.Node, j) }

// Ask asks for work on a machine; only the leader can, as with all that follows.
func (o *Order) Ask(ctx context.Context, j maintenance.Job) (maintenance.Job, error) {
	j.Phase, j.Grant, j.Why = maintenance.Asked, 0, ""
	if err := j.Check(); err != nil {
		return j, err
	}
	return j, o.change(ctx, j.Node, func(old *maintenance.Job) (*maintenance.Job, error) {
		if old != nil && old.Phase.Open() {
			return nil, fmt.Errorf("%w: %s", ErrBusy, old.Phase)
		}
		j.AskedMS = time.Now().UnixMilli()
		j.SinceMS, j.Ticket = j.AskedMS, o.store.AppliedRevision()
		return &j, nil
	})
}

// Cancel takes a request back, unless the machine goes already. One that failed loses its
// place.
func (o *Order) Cancel(ctx context.Context, node string) error {
	return o.change(ctx, node, func(old *maintenance.Job) (*maintenance.Job, error) {
		switch {
		case old == nil || !old.Phase.Open():
			return nil, ErrNone
		case old.Phase == maintenance.Failed:
			j := *old
			j.Phase = maintenance.GivenUp
			return &j, nil
		case old.Phase != maintenance.Asked && old.Phase != maintenance.Granted:
			return nil, fmt.Errorf("%w: %s", ErrBusy, old.Phase)
		}
		return nil, nil
	})
}

// Say notes it. A machine that confirms needs its lease, and the grant must still be there.
func (o *Order) Say(ctx context.Context, node string, r maintenance.Report) error {
	return o.change(ctx, node, func(old *maintenance.Job) (*maintenance.Job, error) {
		if old == nil {
			return nil, ErrNone
		}
		j := *old
		ok := false
		switch r.Phase {
		case maintenance.Draining:
			ok = old.Phase == maintenance.Granted && r.Grant != 0
			j.Grant = r.Grant
		case maintenance.Out:
			ok = old.Phase == maintenance.Draining && r.Grant == old.Grant
		case maintenance.Back: // also an operator says so
			ok = old.Phase == maintenance.Draining || old.Phase == maintenance.Out || old.Phase == maintenance.Failed
		case maintenance.Failed:
			ok = (old.Phase == maintenance.Draining || old.Phase == maintenance.Out || old.Phase == maintenance.Back) && r.Grant == old.Grant
		}
		if old.Phase == r.Phase && (r.Grant == 0 || r.Grant == old.Grant) {
			return old, nil // said again, as the answer was lost
		}
		if !ok {
			return nil, fmt.Errorf("%w: %s", ErrBusy, old.Phase)
		}
		j.Phase, j.Why = r.Phase, r.Why
		return &j, nil
	}, fenceOf(node, r)...)
}

func fenceOf(node string, r maintenance.Report) []lease.Held {
	if r.Phase != maintenance.Draining {
		return nil
	}
	return []lease.Held{{Name: LeaseNode + node, Token: r.Grant}}
}

// change turns a job into another one, or into none, if nobody else does at the same time.
func (o *Order) change(ctx context.Context, node string, to func(*maintenance.Job) (*maintenance.Job, error), fence ...lease.Held) error {
	if _, err := o.store.WaitFresh(ctx, store.Freshness{}); err != nil {
		return err
	}
	key := keyJob + node
	var old *maintenance.Job
	e, there := o.store.Entry(key)
	if there {
		old = &maintenance.Job{}
		if err := json.Unmarshal(e.Value, old); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	next, err := to(old)
	if err != nil || next == old && old != nil {
		return err
	}
	q := kv.Request{Fence: fence, If: []kv.Compare{{Key: key, Revision: e.Index}}, Then: []kv.Op{{Do: "delete", Key: key}}}
	if !there {
		q.If[0].Revision = 0
	}
	if next != nil {
		if old == nil || next.Phase != old.Phase {
			next.SinceMS = time.Now().UnixMilli()
		}
		q.Then[0] = putJob(*next)
	}
	a, err := o.store.Execute(q)
	if err == nil && !a.Held {
		err = ErrRaced
	}
	return err
}

// SetPause pauses the order, or has it go on; what has failed by then is seen.
func (o *Order) SetPause(ctx context.Context, paused bool, why string) error {
	r, err := o.read(ctx)
	if err != nil {
		return err
	}
	p := maintenance.Pause{Paused: paused, Why: why}
	for _, j := range r.view.Jobs {
		if j.Phase == maintenance.Failed || j.Phase == maintenance.GivenUp {
			p.Seen = append(p.Seen, j.Node)
		}
	}
	if paused {
		p.Seen = r.view.Pause.Seen
	}
	a, err := o.store.Execute(kv.Request{If: []kv.Compare{{Key: keyPause, Revision: r.pause}}, Then: []kv.Op{put(keyPause, p)}})
	if err == nil && !a.Held {
		err = ErrRaced
	}
	return err
}

// Beat notes what a machine says of itself, and answers with its job, if there is one.
func (o *Order) Beat(ctx context.Context, b maintenance.Beat) (*maintenance.Job, error) {
	if err := (maintenance.Job{Node: b.Name, ForMS: 1000}).Check(); err != nil {
		return nil, err
	}
	if b.EveryMS < 50 || b.EveryMS > 600_000 || b.Cores < 0 || b.Speed < 0 {
		return nil, fmt.Errorf("%w: every_ms: want 50 to 600000; cores, speed: below 0", maintenance.ErrAsk)
	}
	if _, err := o.store.Execute(kv.Request{Then: []kv.Op{put(keyMachine+b.Name, b)}}); err != nil {
		return nil, err
	}
	e, ok := o.store.Entry(keyJob + b.Name)
	if !ok {
		return nil, nil
	}
	j := &maintenance.Job{}
	return j, json.Unmarshal(e.Value, j)
}

// Status is all of it.
func (o *Order) Status(ctx context.Context) (s maintenance.Status, err error) {
	r, err := o.read(ctx)
	if err != nil {
		return s, err
	}
	held, _, err := o.store.Leases(ctx, LeaseOrder)
	if err != nil {
		return s, err
	}
	d := maintenance.Decide(r.view)
	s = maintenance.Status{Order: held[LeaseOrder].Holder, Pause: r.view.Pause, Limits: r.view.Limits, First: d.First, Why: d.Waits[d.First], Machines: r.view.Machines, Jobs: []maintenance.Row{}}
	for _, j := range r.view.Jobs {
		s.Jobs = append(s.Jobs, maintenance.Row{Job: j, Waits: d.Waits[j.Node]})
	}
	return s, nil
}
