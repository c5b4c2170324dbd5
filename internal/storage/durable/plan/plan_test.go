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
	l, err := Limits{}.Filled()
	require.NoError(t, err)
	return l
}

// quiet has nothing to do.
func quiet() Facts {
	return Facts{Now: time.Second, Seq: 100, OlderSeq: 100, OlderSegment: 9, OldestSnapshot: 100, Space: Space{Used: 1 << 20, Live: 1 << 20}}
}

func TestNext(t *testing.T) {
	dead := Segment{Number: 1, Bytes: 8 << 20, DeadSince: 50, Sealed: true}
	half := Segment{Number: 2, Bytes: 8 << 20, Live: 2 << 20, Refs: 9, Sealed: true}
	more := Segment{Number: 3, Bytes: 8 << 20, Live: 1 << 20, Refs: 9, Sealed: true}
	for _, c := range []struct {
		name   string
		change func(*Facts)
		want   Step
	}{
		{"quiet", func(*Facts) {}, Step{Wait: idle}},
		{"buffered write is fresh", func(f *Facts) { f.Unsynced, f.UnsyncedSince = true, f.Now-time.Millisecond }, Step{Wait: idle}},
		{"buffered write is old", func(f *Facts) { f.Unsynced, f.UnsyncedSince = true, 0 }, Step{Kind: Flush}},
		{"dead segment", func(f *Facts) { f.Segments = []Segment{dead} }, Step{Kind: Drop, Segment: 1}},
		{"the older checkpoint needs its log", func(f *Facts) { f.Segments, f.OlderSeq, f.OlderSegment = []Segment{dead}, 60, 1 }, Step{Kind: BeginCheckpoint}},
		{"the older checkpoint points to its values", func(f *Facts) { f.Segments, f.OlderSeq = []Segment{dead}, 49 }, Step{Kind: BeginCheckpoint}},
		{"a snapshot reads it", func(f *Facts) { f.Segments, f.OldestSnapshot = []Segment{dead}, 49 }, Step{Wait: idle}},
		{"it is still written to", func(f *Facts) { f.Segments = []Segment{{Number: 1, Bytes: 8 << 20}} }, Step{Wait: idle}},
		{"much log", func(f *Facts) { f.LogBehind, f.OlderSeq = 4<<20, 50 }, Step{Kind: BeginCheckpoint}},
		{"much log, less than the checkpoint", func(f *Facts) {
			f.LogBehind, f.OlderSeq, f.Space.Checkpoint = 4<<20, 50, 5<<20
		}, Step{Wait: idle}},
		{"the worst segment", func(f *Facts) { f.Segments = []Segment{half, more} }, Step{Kind: BeginCompaction, Segment: 3}},
		{"the worst that can be read", func(f *Facts) {
			m := more
			m.Unreadable = true
			f.Segments = []Segment{half, m}
		}, Step{Kind: BeginCompaction, Segment: 2}},
		{"little is dead", func(f *Facts) { f.Segments, f.Space.Live = []Segment{half}, 64<<20 }, Step{Wait: idle}},
		{"no reserve", func(f *Facts) { f.ReserveMissing = true }, Step{Kind: RestoreReserve}},
		{"no reserve, no room", func(f *Facts) { f.ReserveMissing, f.Space.Used = true, 4<<30 }, Step{Wait: idle}},
		{"after a failure", func(f *Facts) { f.Failed, f.Segments = true, []Segment{dead} }, Step{Wait: idle}},
		{"eager seals", func(f *Facts) {
			f.Eager, f.Segments = true, []Segment{{Number: 1, Bytes: 1 << 20, Live: 1 << 10, Refs: 1}}
		}, Step{Kind: Seal}},
		{"eager ends", func(f *Facts) { f.Eager = true }, Step{Wait: idle}},
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
	f.LogBehind, f.OlderSeq = 1<<20, 50
	require.Equal(t, Wait, p.Next(f).Kind)
	f.Now += p.Limits.QuietAfter - 1
	require.Equal(t, Wait, p.Next(f).Kind)
	f.Seq++
	f.Now++
	require.Equal(t, Wait, p.Next(f).Kind, "it was not quiet")
	f.Now += p.Limits.QuietAfter
	require.Equal(t, BeginCheckpoint, p.Next(f).Kind)
	f.OlderSeq = f.Seq
	require.Equal(t, Wait, p.Next(f).Kind)
}

// TestBudget: over any time, steps get the rate and one chunk, and more when the
// folder outgrows its target.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Planner{Limits: limits(t)}
		f := quiet()
		f.Task = Compacting
		f.Space.Used = rapid.Int64Range(0, 40<<20).Draw(t, "used")
		rate := p.Limits.RateOf(f.Space)
		require.GreaterOrEqual(t, rate, float64(p.Limits.Rate))
		require.LessOrEqual(t, rate, mostRate*float64(p.Limits.Rate))
		spent, begin := 0.0, f.Now
		for range 200 {
			s := p.Next(f)
			if s.Kind == Continue {
				took := rapid.Int64Range(1, 2*s.Bytes).Draw(t, "took")
				p.Spend(took)
				spent += float64(took)
			} else {
				require.Positive(t, s.Wait)
			}
			f.Now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, s.Wait}).Draw(t, "pause")
			require.LessOrEqual(t, spent, rate*(f.Now-begin).Seconds()+3*float64(p.Limits.Chunk))
		}
	})
}

// TestDropNeverTooEarly: whatever the facts, a segment that something needs stays.
func TestDropNeverTooEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Uint64Range(0, 20)
		f := quiet()
		f.Seq, f.OlderSeq, f.OldestSnapshot, f.Eager = 20, n.Draw(t, "older"), n.Draw(t, "snapshot"), rapid.Bool().Draw(t, "eager")
		f.OlderSegment = rapid.Uint32Range(0, 5).Draw(t, "segment")
		for i := range rapid.IntRange(0, 4).Draw(t, "segments") {
			f.Segments = append(f.Segments, Segment{Number: uint32(i + 1), Bytes: 1 << 20, Refs: rapid.Int64Range(0, 1).Draw(t, "refs"),
				DeadSince: n.Draw(t, "dead"), Sealed: rapid.Bool().Draw(t, "sealed")})
		}
		p := Planner{Limits: limits(t)}
		if s := p.Next(f); s.Kind == Drop {
			g := f.Segments[s.Segment-1]
			require.True(t, g.Sealed && g.Refs == 0 && g.Number < f.OlderSegment && g.DeadSince <= f.OlderSeq && g.DeadSince <= f.OldestSnapshot)
		}
	})
}

// TestAdmits: puts stop before deletes, and deletes before the bound.
func TestAdmits(t *testing.T) {
	l := limits(t)
	s := Space{Used: l.MaxBytes - l.Headroom(Space{}) - 100}
	assert.True(t, l.Admits(s, 100, true))
	assert.False(t, l.Admits(s, 101, true))
	assert.True(t, l.Admits(s, 101, false))
	s.Released = true
	assert.False(t, l.Admits(s, 1, true), "what deletes free goes to the reserve first")
	assert.True(t, l.Admits(s, 1, false))
	s.Used = l.MaxBytes
	assert.False(t, l.Admits(s, 1, false))
	_, err := Limits{SegmentMin: 2, SegmentMax: 1}.Filled()
	assert.Error(t, err)
	_, err = Limits{GarbageShare: -1}.Filled()
	assert.Error(t, err)
}
