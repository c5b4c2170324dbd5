package plan

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/testrig/rapidseed"
)

// TestMain has rapid try the same states each time, unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	rapidseed.SetDefault()
	os.Exit(m.Run())
}

func limits(t require.TestingT) Limits {
	l, err := Limits{}.WithDefaults()
	require.NoError(t, err)
	return l
}

// idleState has nothing to do.
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
	half := Segment{Number: 2, Bytes: 8 << 20, LiveBytes: 2 << 20, LiveValues: 9, Sealed: true}
	more := Segment{Number: 3, Bytes: 8 << 20, LiveBytes: 1 << 20, LiveValues: 9, Sealed: true}
	for _, c := range []struct {
		name   string
		change func(*State)
		want   Step
	}{
		{"idle", func(*State) {}, Step{Delay: idleDelay}},
		{"buffered write is fresh", func(state *State) {
			state.HasUnsynced = true
			state.UnsyncedSince = state.Now - time.Millisecond
		}, Step{Delay: idleDelay}},
		{"buffered write is old", func(state *State) {
			state.HasUnsynced = true
			state.UnsyncedSince = 0
		}, Step{Kind: Flush}},
		{"dead segment", func(state *State) { state.Segments = []Segment{dead} }, Step{Kind: DropSegment, Segment: 1}},
		{"the older checkpoint needs its log", func(state *State) {
			state.Segments = []Segment{dead}
			state.OlderCheckpointSeq = 60
			state.OlderCheckpointSegment = 1
		}, Step{Kind: BeginCheckpoint}},
		{"the older checkpoint points to its values", func(state *State) {
			state.Segments = []Segment{dead}
			state.OlderCheckpointSeq = 49
		}, Step{Kind: BeginCheckpoint}},
		{"a snapshot reads it", func(state *State) {
			state.Segments = []Segment{dead}
			state.OldestSnapshotSeq = 49
		}, Step{Delay: idleDelay}},
		{"it is still written to", func(state *State) {
			state.Segments = []Segment{{Number: 1, Bytes: 8 << 20}}
		}, Step{Delay: idleDelay}},
		{"much log", func(state *State) {
			state.LogBytesSinceCheckpoint = 4 << 20
			state.OlderCheckpointSeq = 50
		}, Step{Kind: BeginCheckpoint}},
		{"much log, less than the checkpoint", func(state *State) {
			state.LogBytesSinceCheckpoint = 4 << 20
			state.OlderCheckpointSeq = 50
			state.Space.CheckpointBytes = 5 << 20
		}, Step{Delay: idleDelay}},
		{"the worst segment", func(state *State) {
			state.Segments = []Segment{half, more}
		}, Step{Kind: BeginCompaction, Segment: 3}},
		{"the worst that can be read", func(state *State) {
			m := more
			m.Unreadable = true
			state.Segments = []Segment{half, m}
		}, Step{Kind: BeginCompaction, Segment: 2}},
		{"little is dead", func(state *State) {
			state.Segments = []Segment{half}
			state.Space.LiveBytes = 64 << 20
		}, Step{Delay: idleDelay}},
		{"no reserve", func(state *State) { state.ReserveMissing = true }, Step{Kind: RestoreReserve}},
		{"no reserve, no room", func(state *State) {
			state.ReserveMissing = true
			state.Space.UsedBytes = 4 << 30
		}, Step{Delay: idleDelay}},
		{"after a failure", func(state *State) {
			state.LastStepFailed = true
			state.Segments = []Segment{dead}
		}, Step{Delay: idleDelay}},
		{"reclaim seals", func(state *State) {
			state.ReclaimAll = true
			state.Segments = []Segment{{Number: 1, Bytes: 1 << 20, LiveBytes: 1 << 10, LiveValues: 1}}
		}, Step{Kind: SealSegment}},
		{"reclaim ends", func(state *State) { state.ReclaimAll = true }, Step{Delay: idleDelay}},
	} {
		state := idleState()
		c.change(&state)
		p := Planner{Limits: limits(t)}
		assert.Equal(t, c.want, p.Next(state), c.name)
	}
}

// TestCheckpointWhenIdle: with nothing written for a while, a checkpoint is due early, and no more
// once both have all there is.
func TestCheckpointWhenIdle(t *testing.T) {
	p := Planner{Limits: limits(t)}
	state := idleState()
	state.LogBytesSinceCheckpoint = 1 << 20
	state.OlderCheckpointSeq = 50
	require.Equal(t, Idle, p.Next(state).Kind)
	state.Now += p.Limits.IdleCheckpointDelay - 1
	require.Equal(t, Idle, p.Next(state).Kind)
	state.Seq++
	state.Now++
	require.Equal(t, Idle, p.Next(state).Kind, "it was not idle")
	state.Now += p.Limits.IdleCheckpointDelay
	require.Equal(t, BeginCheckpoint, p.Next(state).Kind)
	state.OlderCheckpointSeq = state.Seq
	require.Equal(t, Idle, p.Next(state).Kind)
}

// TestBudget: over any time, steps get the rate and one step's worth, and more when the
// folder outgrows its target.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Planner{Limits: limits(t)}
		state := idleState()
		state.Task = Compacting
		state.Space.UsedBytes = rapid.Int64Range(0, 40<<20).Draw(t, "used")
		rate := p.Limits.Rate(state.Space)
		require.GreaterOrEqual(t, rate, float64(p.Limits.BytesPerSecond))
		require.LessOrEqual(t, rate, maxRateFactor*float64(p.Limits.BytesPerSecond))
		spent, begin := 0.0, state.Now
		for range 200 {
			step := p.Next(state)
			if step.Kind == ContinueTask {
				took := rapid.Int64Range(1, 2*step.BudgetBytes).Draw(t, "took")
				p.Charge(took)
				spent += float64(took)
			} else {
				require.Positive(t, step.Delay)
			}
			state.Now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, step.Delay}).Draw(t, "pause")
			require.LessOrEqual(t, spent, rate*(state.Now-begin).Seconds()+3*float64(p.Limits.MaxStepBytes))
		}
	})
}

// TestNeededSegmentIsNotDropped: whatever the state, a segment that something needs is not dropped.
func TestNeededSegmentIsNotDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Uint64Range(0, 20)
		state := idleState()
		state.Seq = 20
		state.OlderCheckpointSeq = n.Draw(t, "older")
		state.OldestSnapshotSeq = n.Draw(t, "snapshot")
		state.ReclaimAll = rapid.Bool().Draw(t, "reclaim")
		state.OlderCheckpointSegment = rapid.Uint32Range(0, 5).Draw(t, "segment")
		for i := range rapid.IntRange(0, 4).Draw(t, "segments") {
			state.Segments = append(state.Segments, Segment{
				Number:     uint32(i + 1),
				Bytes:      1 << 20,
				LiveValues: rapid.Int64Range(0, 1).Draw(t, "live values"),
				EmptiedSeq: n.Draw(t, "emptied"),
				Sealed:     rapid.Bool().Draw(t, "sealed"),
			})
		}
		p := Planner{Limits: limits(t)}
		if step := p.Next(state); step.Kind == DropSegment {
			segment := state.Segments[step.Segment-1]
			require.True(t, segment.Sealed && segment.LiveValues == 0)
			require.Less(t, segment.Number, state.OlderCheckpointSegment)
			require.LessOrEqual(t, segment.EmptiedSeq, state.OlderCheckpointSeq)
			require.LessOrEqual(t, segment.EmptiedSeq, state.OldestSnapshotSeq)
		}
	})
}

// TestAdmits: puts are rejected before deletes, and deletes at MaxBytes.
func TestAdmits(t *testing.T) {
	l := limits(t)
	s := Space{UsedBytes: l.MaxBytes - l.HeadroomBytes(Space{}) - 100}
	assert.True(t, l.Admits(s, 100, true))
	assert.False(t, l.Admits(s, 101, true))
	assert.True(t, l.Admits(s, 101, false))
	s.ReserveReleased = true
	assert.False(t, l.Admits(s, 1, true), "what deletes free goes to the reserve first")
	assert.True(t, l.Admits(s, 1, false))
	s.UsedBytes = l.MaxBytes
	assert.False(t, l.Admits(s, 1, false))
	_, err := Limits{MinSegmentBytes: 2, MaxSegmentBytes: 1}.WithDefaults()
	assert.Error(t, err)
	_, err = Limits{GarbageRatio: -1}.WithDefaults()
	assert.Error(t, err)
}
