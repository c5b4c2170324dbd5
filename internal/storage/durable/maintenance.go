package durable

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"oxbowbridge/internal/storage/durable/plan"
)

var errMaintenanceStopped = errors.New("maintenance is stopped")

// maintainer runs the steps that the planner decides, one at a time and concurrently
// with writes. It has its own goroutine unless Options.ManualMaintenance is set.
type maintainer struct {
	store      *Store
	start      time.Time
	manualTime atomic.Int64  // time passed to the last RunMaintenance, in ns
	quit       chan struct{} // closed to stop
	loopDone   chan struct{} // closed when the loop has returned

	mu              sync.Mutex // held during a step
	planner         plan.Planner
	checkpoint      *checkpointWriter // the checkpoint that is being written, or nil
	compaction      *compaction       // the running compaction, or nil
	nextCheckpoint  uint32            // number of the next checkpoint
	coveredLogBytes int64             // length of the log from the previous checkpoint to the running one
	lastStepFailed  bool

	errMu   sync.Mutex
	lastErr error // error of the last step; nil if the step succeeded
}

func (m *maintainer) init(s *Store, r *recovery) {
	m.store = s
	m.start = time.Now()
	m.quit = make(chan struct{})
	m.loopDone = make(chan struct{})
	m.planner.Limits = s.options.Maintenance
	m.nextCheckpoint = r.maxCheckpoint + 1
}

// now returns the time since the store was opened, or the time that was passed to the
// last RunMaintenance if Options.ManualMaintenance is set.
func (m *maintainer) now() time.Duration {
	if m.store.options.ManualMaintenance {
		return time.Duration(m.manualTime.Load())
	}
	return time.Since(m.start)
}

// run runs steps until the maintainer is stopped or the store is read-only.
func (m *maintainer) run() {
	defer close(m.loopDone)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-m.quit:
			return
		case <-timer.C:
		}
		result, err := m.runStep(rateLimited)
		if errors.Is(err, ErrReadOnly) {
			return
		}
		timer.Reset(result.delay)
	}
}

// stop waits for the running step, stops the loop and abandons unfinished tasks.
func (m *maintainer) stop() {
	close(m.quit)
	<-m.loopDone
	m.mu.Lock()
	defer m.mu.Unlock()
	m.abandonTasks()
}

func (m *maintainer) abandonTasks() {
	if w := m.checkpoint; w != nil {
		w.iterator.Release()
		w.file.Close()
		m.store.removeCheckpoint(w.header.number, w.size)
		m.checkpoint = nil
	}
	m.compaction = nil
}

func (m *maintainer) lastError() error {
	m.errMu.Lock()
	defer m.errMu.Unlock()
	return m.lastErr
}

func (m *maintainer) setLastError(err error) {
	m.errMu.Lock()
	defer m.errMu.Unlock()
	m.lastErr = err
}

// RunMaintenance runs one step of maintenance for a store with
// Options.ManualMaintenance. The time now is measured from any fixed point and must not
// decrease from call to call. RunMaintenance reports whether there was work to do.
func (s *Store) RunMaintenance(now time.Duration) (worked bool, err error) {
	s.maintenance.manualTime.Store(int64(now))
	result, err := s.maintenance.runStep(rateLimited)
	return result.worked, err
}

// Compact reclaims all space that can be reclaimed, regardless of the rate limit.
func (s *Store) Compact(ctx context.Context) error {
	for ctx.Err() == nil {
		result, err := s.maintenance.runStep(reclaimAll)
		if err != nil || !result.worked {
			return err
		}
	}
	return ctx.Err()
}

// stepMode selects the limits of a maintenance step.
type stepMode int

const (
	rateLimited stepMode = iota // within the planner's limits
	reclaimAll                  // without limits, see plan.State.ReclaimAll
)

// stepResult is the result of a step.
type stepResult struct {
	delay  time.Duration // until the next step
	worked bool          // there was work to do
}

// runStep runs the next step that the planner decides. If it fails, the running tasks
// are abandoned.
func (m *maintainer) runStep(mode stepMode) (stepResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.quit:
		return stepResult{}, errMaintenanceStopped
	default:
	}
	if err := m.store.ReadOnlyError(); err != nil {
		return stepResult{}, err
	}
	state := m.planState()
	state.ReclaimAll = mode == reclaimAll
	m.lastStepFailed = false
	step := m.planner.Next(state)
	if step.Kind == plan.Idle {
		return stepResult{delay: step.Delay}, nil
	}
	err := m.execute(step)
	if err != nil {
		m.lastStepFailed = true
		m.store.logBytesSinceCheckpoint.Add(m.coveredLogBytes)
		m.coveredLogBytes = 0
		m.abandonTasks()
	}
	m.setLastError(err)
	return stepResult{delay: step.Delay, worked: true}, err
}

// execute runs a step.
func (m *maintainer) execute(step plan.Step) error {
	s := m.store
	switch step.Kind {
	case plan.Flush:
		return s.Sync()
	case plan.DropSegment:
		return s.dropSegment(step.Segment)
	case plan.SealSegment:
		return s.runInCommitter(s.rotateSegment)
	case plan.RestoreReserve:
		return s.restoreReserve()
	case plan.StartCheckpoint:
		return m.startCheckpoint()
	case plan.StartCompaction:
		s.mu.RLock()
		m.compaction = &compaction{segment: s.index.segments[step.Segment], nextOffset: headerLen}
		s.mu.RUnlock()
		return nil
	case plan.ContinueTask:
		if m.checkpoint != nil {
			return m.continueCheckpoint(step.BudgetBytes)
		}
		return m.continueCompaction(step.BudgetBytes)
	}
	return fmt.Errorf("durable: unknown maintenance step %v", step.Kind)
}

// continueCompaction continues the running compaction until it has read and written
// about budget bytes.
func (m *maintainer) continueCompaction(budget int64) error {
	spent, done, err := m.store.compactSegment(m.compaction, budget)
	m.planner.Charge(spent)
	if done {
		m.compaction = nil
		m.store.stats.compactions.Add(1)
	}
	return err
}

// dropSegment removes a sealed segment without live values.
func (s *Store) dropSegment(number uint32) error {
	s.mu.Lock()
	segment := s.index.segments[number]
	if segment == nil || segment.liveValues > 0 || !segment.sealed {
		s.mu.Unlock()
		return nil
	}
	delete(s.index.segments, number)
	s.mu.Unlock()
	segment.file.Close()
	if err := s.fs.Remove(segmentName(number)); err != nil {
		return err
	}
	s.usedBytes.Add(-segment.size)
	s.stats.droppedSegments.Add(1)
	return nil
}
