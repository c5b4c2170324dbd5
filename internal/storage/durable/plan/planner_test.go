package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/testrig/rapidseed"
)

// TestMain sets a fixed seed for rapid, unless a seed is given.
func TestMain(m *testing.M) { rapidseed.RunTests(m) }

func defaultLimits(t require.TestingT) Limits {
	l, err := Limits{}.WithDefaults()
	require.NoError(t, err)
	return l
}

// idleState returns a state in which no maintenance is due.
func idleState() State {
	return State{
		Now:                    time.Second,
		Seq:                    100,
		OlderCheckpointSeq:     100,
		OlderCheckpointSegment: 9,
		OldestSnapshotSeq:      100,
		Space:                  Space{UsedBytes: 1 << 20, LiveBytes: 1 << 20},
	}
}

func TestNextStep(t *testing.T) {
	dead := Segment{Number: 1, Bytes: 8 << 20, EmptiedSeq: 50, Sealed: true}
	threeQuartersDead := Segment{Number: 2, Bytes: 8 << 20, LiveBytes: 2 << 20, LiveValues: 9, Sealed: true}
	sevenEighthsDead := Segment{Number: 3, Bytes: 8 << 20, LiveBytes: 1 << 20, LiveValues: 9, Sealed: true}
	for _, c := range []struct {
		name   string
		change func(*State)
		want   Step
	}{
		{"idle", func(*State) {}, Step{Delay: idleDelay}},
		{"unsynced write is recent", func(state *State) {
			state.HasUnsynced = true
			state.UnsyncedSince = state.Now - time.Millisecond
		}, Step{Delay: idleDelay}},
		{"unsynced write is old", func(state *State) {
			state.HasUnsynced = true
			state.UnsyncedSince = 0
		}, Step{Kind: Flush}},
		{"dead segment", func(state *State) { state.Segments = []Segment{dead} }, Step{Kind: DropSegment, Segment: 1}},
		{"dead segment that the older checkpoint needs for the replay", func(state *State) {
			state.Segments = []Segment{dead}
			state.OlderCheckpointSeq = 60
			state.OlderCheckpointSegment = 1
		}, Step{Kind: StartCheckpoint}},
		{"dead segment with values of the older checkpoint", func(state *State) {
			state.Segments = []Segment{dead}
			state.OlderCheckpointSeq = 49
		}, Step{Kind: StartCheckpoint}},
		{"dead segment that a snapshot reads", func(state *State) {
			state.Segments = []Segment{dead}
			state.OldestSnapshotSeq = 49
		}, Step{Delay: idleDelay}},
		{"segment without live values that is not sealed", func(state *State) {
			state.Segments = []Segment{{Number: 1, Bytes: 8 << 20}}
		}, Step{Delay: idleDelay}},
		{"long log", func(state *State) {
			state.LogBytesSinceCheckpoint = 4 << 20
			state.OlderCheckpointSeq = 50
		}, Step{Kind: StartCheckpoint}},
		{"long log, shorter than the checkpoint", func(state *State) {
			state.LogBytesSinceCheckpoint = 4 << 20
			state.OlderCheckpointSeq = 50
			state.Space.CheckpointBytes = 5 << 20
		}, Step{Delay: idleDelay}},
		{"segment with the highest ratio of dead data", func(state *State) {
			state.Segments = []Segment{threeQuartersDead, sevenEighthsDead}
		}, Step{Kind: StartCompaction, Segment: 3}},
		{"readable segment with the highest ratio of dead data", func(state *State) {
			m := sevenEighthsDead
			m.Unreadable = true
			state.Segments = []Segment{threeQuartersDead, m}
		}, Step{Kind: StartCompaction, Segment: 2}},
		{"dead data below the tolerated ratio", func(state *State) {
			state.Segments = []Segment{threeQuartersDead}
			state.Space.LiveBytes = 64 << 20
		}, Step{Delay: idleDelay}},
		{"reserve missing", func(state *State) { state.ReserveMissing = true }, Step{Kind: RestoreReserve}},
		{"reserve missing, folder full", func(state *State) {
			state.ReserveMissing = true
			state.Space.UsedBytes = 4 << 30
		}, Step{Delay: idleDelay}},
		{"delay after a failed step", func(state *State) {
			state.LastStepFailed = true
			state.Segments = []Segment{dead}
		}, Step{Delay: idleDelay}},
		{"reclaim seals the active segment", func(state *State) {
			state.ReclaimAll = true
			state.Segments = []Segment{{Number: 1, Bytes: 1 << 20, LiveBytes: 1 << 10, LiveValues: 1}}
		}, Step{Kind: SealSegment}},
		{"nothing to reclaim", func(state *State) { state.ReclaimAll = true }, Step{Delay: idleDelay}},
	} {
		state := idleState()
		c.change(&state)
		p := Planner{Limits: defaultLimits(t)}
		assert.Equal(t, c.want, p.Next(state), c.name)
	}
}

// TestCheckpointWhenIdle: a checkpoint is due earlier after IdleCheckpointDelay without
// writes, and none is due when both checkpoints cover the whole log.
func TestCheckpointWhenIdle(t *testing.T) {
	p := Planner{Limits: defaultLimits(t)}
	state := idleState()
	state.LogBytesSinceCheckpoint = 1 << 20
	state.OlderCheckpointSeq = 50
	require.Equal(t, Idle, p.Next(state).Kind)
	state.Now += p.Limits.IdleCheckpointDelay - 1
	require.Equal(t, Idle, p.Next(state).Kind)
	state.Seq++
	state.Now++
	require.Equal(t, Idle, p.Next(state).Kind, "a write restarts the idle time")
	state.Now += p.Limits.IdleCheckpointDelay
	require.Equal(t, StartCheckpoint, p.Next(state).Kind)
	state.OlderCheckpointSeq = state.Seq
	require.Equal(t, Idle, p.Next(state).Kind)
}

// TestBudget: over any period, steps use no more than the rate allows plus a few steps,
// and the rate stays between BytesPerSecond and its maximum.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Planner{Limits: defaultLimits(t)}
		state := idleState()
		state.Task = Compacting
		state.Space.UsedBytes = rapid.Int64Range(0, 40<<20).Draw(t, "used")
		rate := p.Limits.Rate(state.Space)
		require.GreaterOrEqual(t, rate, float64(p.Limits.BytesPerSecond))
		require.LessOrEqual(t, rate, maxRateFactor*float64(p.Limits.BytesPerSecond))
		spent, start := 0.0, state.Now
		for range 200 {
			step := p.Next(state)
			if step.Kind == ContinueTask {
				stepBytes := rapid.Int64Range(1, 2*step.BudgetBytes).Draw(t, "took")
				p.Charge(stepBytes)
				spent += float64(stepBytes)
			} else {
				require.Positive(t, step.Delay)
			}
			state.Now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, step.Delay}).Draw(t, "pause")
			require.LessOrEqual(t, spent, rate*(state.Now-start).Seconds()+3*float64(p.Limits.MaxStepBytes))
		}
	})
}

// TestNeededSegmentIsNotDropped: in no state is a segment dropped that the index, a
// checkpoint or a snapshot needs.
func TestNeededSegmentIsNotDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		anySeq := rapid.Uint64Range(0, 20)
		state := idleState()
		state.Seq = 20
		state.OlderCheckpointSeq = anySeq.Draw(t, "older")
		state.OldestSnapshotSeq = anySeq.Draw(t, "snapshot")
		state.ReclaimAll = rapid.Bool().Draw(t, "reclaim")
		state.OlderCheckpointSegment = rapid.Uint32Range(0, 5).Draw(t, "segment")
		for i := range rapid.IntRange(0, 4).Draw(t, "segments") {
			state.Segments = append(state.Segments, Segment{
				Number:     uint32(i + 1),
				Bytes:      1 << 20,
				LiveValues: rapid.Int64Range(0, 1).Draw(t, "live values"),
				EmptiedSeq: anySeq.Draw(t, "emptied"),
				Sealed:     rapid.Bool().Draw(t, "sealed"),
			})
		}
		p := Planner{Limits: defaultLimits(t)}
		if step := p.Next(state); step.Kind == DropSegment {
			segment := state.Segments[step.Segment-1]
			require.True(t, segment.Sealed && segment.LiveValues == 0)
			require.Less(t, segment.Number, state.OlderCheckpointSegment)
			require.LessOrEqual(t, segment.EmptiedSeq, state.OlderCheckpointSeq)
			require.LessOrEqual(t, segment.EmptiedSeq, state.OldestSnapshotSeq)
		}
	})
}

// TestAdmits: puts are rejected when only the headroom is left, deletes at MaxBytes.
func TestAdmits(t *testing.T) {
	l := defaultLimits(t)
	s := Space{UsedBytes: l.MaxBytes - l.HeadroomBytes(Space{}) - 100}
	assert.True(t, l.Admits(s, 100, true))
	assert.False(t, l.Admits(s, 101, true))
	assert.True(t, l.Admits(s, 101, false))
	s.ReserveReleased = true
	assert.False(t, l.Admits(s, 1, true), "the reserve is restored before puts are admitted")
	assert.True(t, l.Admits(s, 1, false))
	s.UsedBytes = l.MaxBytes
	assert.False(t, l.Admits(s, 1, false))
	_, err := Limits{MinSegmentBytes: 2, MaxSegmentBytes: 1}.WithDefaults()
	assert.Error(t, err)
	_, err = Limits{GarbageRatio: -1}.WithDefaults()
	assert.Error(t, err)
}
