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

// TestMain has rapid try the same facts each time, unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	rapidseed.Fix()
	os.Exit(m.Run())
}

func limits(t require.TestingT) Limits {
	l, err := Limits{}.WithDefaults()
	require.NoError(t, err)
	return l
}

// quiet has nothing to do.
func quiet() State {
	return State{Now: time.Second, Seq: 100, OlderCheckpointSeq: 100, OlderCheckpointSegment: 9, OldestSnapshotSeq: 100, Space: Space{UsedBytes: 1 << 20, LiveBytes: 1 << 20}}
}

func TestNext(t *testing.T) {
	dead := Segment{Number: 1, Bytes: 8 << 20, EmptiedSeq: 50, Sealed: true}
	half := Segment{Number: 2, Bytes: 8 << 20, LiveBytes: 2 << 20, LiveValues: 9, Sealed: true}
	more := Segment{Number: 3, Bytes: 8 << 20, LiveBytes: 1 << 20, LiveValues: 9, Sealed: true}
	for _, c := range []struct {
		name   string
		change func(*State)
		want   Step
	}{
		{"quiet", func(*State) {}, Step{Delay: idle}},
		{"buffered write is fresh", func(f *State) { f.HasUnsynced, f.UnsyncedSince = true, f.Now-time.Millisecond }, Step{Delay: idle}},
		{"buffered write is old", func(f *State) { f.HasUnsynced, f.UnsyncedSince = true, 0 }, Step{Kind: Flush}},
		{"dead segment", func(f *State) { f.Segments = []Segment{dead} }, Step{Kind: DropSegment, Segment: 1}},
		{"the older checkpoint needs its log", func(f *State) { f.Segments, f.OlderCheckpointSeq, f.OlderCheckpointSegment = []Segment{dead}, 60, 1 }, Step{Kind: BeginCheckpoint}},
		{"the older checkpoint points to its values", func(f *State) { f.Segments, f.OlderCheckpointSeq = []Segment{dead}, 49 }, Step{Kind: BeginCheckpoint}},
		{"a snapshot reads it", func(f *State) { f.Segments, f.OldestSnapshotSeq = []Segment{dead}, 49 }, Step{Delay: idle}},
		{"it is still written to", func(f *State) { f.Segments = []Segment{{Number: 1, Bytes: 8 << 20}} }, Step{Delay: idle}},
		{"much log", func(f *State) { f.LogBytesSinceCheckpoint, f.OlderCheckpointSeq = 4<<20, 50 }, Step{Kind: BeginCheckpoint}},
		{"much log, less than the checkpoint", func(f *State) {
			f.LogBytesSinceCheckpoint, f.OlderCheckpointSeq, f.Space.CheckpointBytes = 4<<20, 50, 5<<20
		}, Step{Delay: idle}},
		{"the worst segment", func(f *State) { f.Segments = []Segment{half, more} }, Step{Kind: BeginCompaction, Segment: 3}},
		{"the worst that can be read", func(f *State) {
			m := more
			m.Unreadable = true
			f.Segments = []Segment{half, m}
		}, Step{Kind: BeginCompaction, Segment: 2}},
		{"little is dead", func(f *State) { f.Segments, f.Space.LiveBytes = []Segment{half}, 64<<20 }, Step{Delay: idle}},
		{"no reserve", func(f *State) { f.ReserveMissing = true }, Step{Kind: RestoreReserve}},
		{"no reserve, no room", func(f *State) { f.ReserveMissing, f.Space.UsedBytes = true, 4<<30 }, Step{Delay: idle}},
		{"after a failure", func(f *State) { f.LastStepFailed, f.Segments = true, []Segment{dead} }, Step{Delay: idle}},
		{"eager seals", func(f *State) {
			f.ReclaimAll, f.Segments = true, []Segment{{Number: 1, Bytes: 1 << 20, LiveBytes: 1 << 10, LiveValues: 1}}
		}, Step{Kind: SealSegment}},
		{"eager ends", func(f *State) { f.ReclaimAll = true }, Step{Delay: idle}},
	} {
		f := quiet()
		c.change(&f)
		p := Planner{Limits: limits(t)}
		assert.Equal(t, c.want, p.Next(f), c.name)
	}
}

// TestQuiet: with nothing written for a while, a checkpoint is due early, and no more
// once both have all there is.
func TestQuiet(t *testing.T) {
	p := Planner{Limits: limits(t)}
	f := quiet()
	f.LogBytesSinceCheckpoint, f.OlderCheckpointSeq = 1<<20, 50
	require.Equal(t, Idle, p.Next(f).Kind)
	f.Now += p.Limits.IdleCheckpointDelay - 1
	require.Equal(t, Idle, p.Next(f).Kind)
	f.Seq++
	f.Now++
	require.Equal(t, Idle, p.Next(f).Kind, "it was not quiet")
	f.Now += p.Limits.IdleCheckpointDelay
	require.Equal(t, BeginCheckpoint, p.Next(f).Kind)
	f.OlderCheckpointSeq = f.Seq
	require.Equal(t, Idle, p.Next(f).Kind)
}

// TestBudget: over any time, steps get the rate and one chunk, and more when the
// folder outgrows its target.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Planner{Limits: limits(t)}
		f := quiet()
		f.Task = Compacting
		f.Space.UsedBytes = rapid.Int64Range(0, 40<<20).Draw(t, "used")
		rate := p.Limits.Rate(f.Space)
		require.GreaterOrEqual(t, rate, float64(p.Limits.BytesPerSecond))
		require.LessOrEqual(t, rate, mostRate*float64(p.Limits.BytesPerSecond))
		spent, begin := 0.0, f.Now
		for range 200 {
			s := p.Next(f)
			if s.Kind == ContinueTask {
				took := rapid.Int64Range(1, 2*s.BudgetBytes).Draw(t, "took")
				p.Charge(took)
				spent += float64(took)
			} else {
				require.Positive(t, s.Delay)
			}
			f.Now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, s.Delay}).Draw(t, "pause")
			require.LessOrEqual(t, spent, rate*(f.Now-begin).Seconds()+3*float64(p.Limits.MaxStepBytes))
		}
	})
}

// TestDropNeverTooEarly: whatever the facts, a segment that something needs stays.
func TestDropNeverTooEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Uint64Range(0, 20)
		f := quiet()
		f.Seq, f.OlderCheckpointSeq, f.OldestSnapshotSeq, f.ReclaimAll = 20, n.Draw(t, "older"), n.Draw(t, "snapshot"), rapid.Bool().Draw(t, "eager")
		f.OlderCheckpointSegment = rapid.Uint32Range(0, 5).Draw(t, "segment")
		for i := range rapid.IntRange(0, 4).Draw(t, "segments") {
			f.Segments = append(f.Segments, Segment{Number: uint32(i + 1), Bytes: 1 << 20, LiveValues: rapid.Int64Range(0, 1).Draw(t, "refs"),
				EmptiedSeq: n.Draw(t, "dead"), Sealed: rapid.Bool().Draw(t, "sealed")})
		}
		p := Planner{Limits: limits(t)}
		if s := p.Next(f); s.Kind == DropSegment {
			g := f.Segments[s.Segment-1]
			require.True(t, g.Sealed && g.LiveValues == 0 && g.Number < f.OlderCheckpointSegment && g.EmptiedSeq <= f.OlderCheckpointSeq && g.EmptiedSeq <= f.OldestSnapshotSeq)
		}
	})
}

// TestAdmits: puts stop before deletes, and deletes before the bound.
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
