package durable

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/storage/durable/faultfs"
	"oxbowbridge/internal/storage/durable/plan"
	"oxbowbridge/internal/storage/durable/vfs"
)

// small has all kinds of upkeep happen within some KB.
func small() Options {
	return Options{StoreID: 0x5eed, MaxKeyBytes: 64, MaxValueBytes: 2048, MaxBatchBytes: 4096, MaxInlineBytes: 12, ReserveBytes: 256, ManualMaintenance: true,
		Maintenance: plan.Limits{MaxBytes: 1 << 20, MinSegmentBytes: 400, MaxSegmentBytes: 400, MinCheckpointLogBytes: 900, MaxStepBytes: 128, BytesPerSecond: 1 << 20}}
}

// bed is a store on a folder in memory, with all states that it went through.
type bed struct {
	s      *Store
	model  map[string]string
	states []string // one for each batch that was handed over
	acked  int      // the last of them that must survive
	now    time.Duration
}

func newBed(fs vfs.FS, o Options) (*bed, error) {
	s, _, err := Open(fs, o)
	return &bed{s: s, model: map[string]string{}, states: []string{""}}, err
}

func canon(m map[string]string) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(m)) {
		fmt.Fprintf(&b, "%s=%s;", k, m[k])
	}
	return b.String()
}

// change is one batch and its effect on the model.
type change struct {
	put  map[string]string
	del  []string
	from string // a range to delete
	to   string
}

func (c change) batch(model map[string]string) *Batch {
	var b Batch
	for _, k := range c.del {
		b.Delete([]byte(k))
		delete(model, k)
	}
	if c.from != "" {
		b.DeleteRange([]byte(c.from), []byte(c.to))
		maps.DeleteFunc(model, func(k, _ string) bool { return k >= c.from && (c.to == "" || k < c.to) })
	}
	for _, k := range slices.Sorted(maps.Keys(c.put)) {
		b.Put([]byte(k), []byte(c.put[k]), 0)
		model[k] = c.put[k]
	}
	return &b
}

// apply hands batches over as one group.
func (b *bed) apply(level Level, changes ...change) error {
	hold, first := make(chan struct{}), len(b.states)
	b.s.submit(&request{do: func() error { <-hold; return nil }, then: func(uint64, error) {}})
	var wg sync.WaitGroup
	errs := make([]error, len(changes))
	for i, c := range changes {
		wg.Add(1)
		batch := c.batch(b.model)
		b.states = append(b.states, canon(b.model))
		b.s.Submit(batch, level, func(_ uint64, err error) { errs[i] = err; wg.Done() })
	}
	close(hold)
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return err
		}
		if level == Synced {
			b.acked = first + i
		}
	}
	return nil
}

// upkeep does up to so many steps.
func (b *bed) upkeep(most int) error {
	for range most {
		b.now += 2 * time.Millisecond
		if _, err := b.s.RunMaintenance(b.now); err != nil {
			return err
		}
	}
	return nil
}

// state reads everything; keys whose value is damaged are left out, and counted.
func state(t require.TestingT, s *Store) (text string, damaged int) {
	p, err := s.Snapshot()
	require.NoError(t, err)
	defer p.Close()
	m := map[string]string{}
	require.NoError(t, p.Scan(nil, nil, 0, func(i Item) bool {
		v, err := i.Value()
		if err != nil {
			require.ErrorIs(t, err, ErrDamaged)
			damaged++
			return true
		}
		m[i.Key] = string(v)
		return true
	}))
	return canon(m), damaged
}

func val(i, n int) string { return strings.Repeat(fmt.Sprintf("%d,", i), n) }

// day goes through all that a store does, and ends early at an error.
func (b *bed) day() error {
	for i := range 30 {
		if err := b.apply(Synced, change{put: map[string]string{fmt.Sprintf("k%02d", i%9): val(i, 4+i%30), "last": fmt.Sprint(i)}}); err != nil {
			return err
		}
		if i%4 == 1 {
			if err := b.apply(Buffered, change{put: map[string]string{"lossy": val(i, 20)}}); err != nil {
				return err
			}
		}
		if i%7 == 3 {
			if err := b.apply(Synced, change{put: map[string]string{"g1": val(i, 9)}}, change{del: []string{"k03", "g1"}},
				change{put: map[string]string{"g2": val(i, 2), "g3": val(i, 40)}}); err != nil {
				return err
			}
		}
		if i%11 == 10 {
			if err := b.apply(Synced, change{from: "k02", to: "k05", put: map[string]string{"k03": "back"}}); err != nil {
				return err
			}
		}
		if err := b.upkeep(5); err != nil {
			return err
		}
	}
	return nil
}

func TestReadsAndWrites(t *testing.T) {
	dir, err := vfs.OpenDir(t.TempDir())
	require.NoError(t, err)
	o := Options{MaxInlineBytes: 8}
	s, r, err := Open(dir, o)
	require.NoError(t, err)
	assert.Equal(t, NoLoss, r.Loss)
	_, _, err = Open(dir, o)
	assert.ErrorIs(t, err, vfs.ErrLocked)
	long := bytes.Repeat([]byte("long"), 1000)
	require.NoError(t, s.Put([]byte("a"), []byte("1")))
	require.NoError(t, s.Put([]byte("b"), long))
	before, err := s.Snapshot()
	require.NoError(t, err)
	var b Batch
	b.Put([]byte("c"), []byte("soon gone"), 50)
	b.Put([]byte("d"), []byte("kept"), 0)
	b.Delete([]byte("a"))
	seq, err := s.Apply(&b, Buffered)
	require.NoError(t, err)
	assert.EqualValues(t, 3, seq)
	v, err := s.Get([]byte("b"), 0)
	require.NoError(t, err)
	assert.Equal(t, long, v)
	_, err = s.Get([]byte("a"), 0)
	assert.ErrorIs(t, err, ErrNotFound)
	v, err = before.Get([]byte("a"), 0)
	require.NoError(t, err, "a snapshot does not move")
	assert.Equal(t, "1", string(v))
	_, err = s.Get([]byte("c"), 49)
	assert.NoError(t, err)
	_, err = s.Get([]byte("c"), 50)
	assert.ErrorIs(t, err, ErrNotFound)
	n, err := s.Expire(49, 10)
	require.NoError(t, err)
	assert.Zero(t, n)
	n, err = s.Expire(50, 10)
	require.NoError(t, err)
	assert.Equal(t, 1, n)
	for _, c := range []struct {
		key, value []byte
		want       error
	}{{nil, nil, ErrKeyLength}, {make([]byte, 5000), nil, ErrKeyLength}, {[]byte("v"), make([]byte, 9<<20), ErrValueLength}} {
		assert.ErrorIs(t, s.Put(c.key, c.value), c.want)
	}
	_, err = s.Apply(&Batch{}, Synced)
	assert.ErrorIs(t, err, ErrBatchLength)
	before.Close()
	_, err = before.Get([]byte("a"), 0)
	assert.ErrorIs(t, err, ErrClosed)
	require.NoError(t, s.Close())
	assert.ErrorIs(t, s.Put([]byte("a"), nil), ErrClosed)
	_, err = s.Get([]byte("b"), 0)
	assert.ErrorIs(t, err, ErrClosed)
	s, r, err = Open(dir, o)
	require.NoError(t, err)
	assert.Equal(t, 2, r.Keys)
	v, err = s.Get([]byte("b"), 0)
	require.NoError(t, err)
	assert.Equal(t, long, v)
	require.NoError(t, s.Close())
}

// TestDay: the day on a sound folder uses every part, and space is given back.
func TestDay(t *testing.T) {
	f := &faultfs.FS{}
	b, err := newBed(f, small())
	require.NoError(t, err)
	require.NoError(t, b.day())
	got, damaged := state(t, b.s)
	assert.Equal(t, canon(b.model), got)
	assert.Zero(t, damaged)
	st := b.s.Stats()
	assert.Greater(t, st.Checkpoints, int64(2))
	assert.Greater(t, st.Compactions, int64(1))
	assert.Greater(t, st.DroppedSegments, int64(3))
	require.NoError(t, b.s.Compact(t.Context()))
	list, _ := f.List()
	sum := int64(0)
	for _, i := range list {
		sum += i.Size
	}
	assert.Equal(t, sum, b.s.Stats().UsedBytes, "the books on space are right")
	require.NoError(t, b.s.Close())
	s, r, err := Open(f, small())
	require.NoError(t, err)
	assert.Equal(t, NoLoss, r.Loss)
	got, _ = state(t, s)
	assert.Equal(t, canon(b.model), got)
	require.NoError(t, s.Close())
}

// TestGroupCommit: writers at once share syncs, and each sees its own write.
func TestGroupCommit(t *testing.T) {
	f := &faultfs.FS{FaultAt: func(_ int, op, _ string) faultfs.Fault {
		if op == "sync" {
			time.Sleep(time.Millisecond)
		}
		return faultfs.NoFault
	}}
	s, _, err := Open(f, Options{})
	require.NoError(t, err)
	var wg sync.WaitGroup
	for w := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 20 {
				k := fmt.Appendf(nil, "%d/%d", w, i)
				assert.NoError(t, s.Put(k, k))
				v, err := s.Get(k, 0)
				assert.NoError(t, err)
				assert.Equal(t, k, v)
			}
		}()
	}
	wg.Wait()
	st := s.Stats()
	assert.EqualValues(t, 320, st.Batches)
	assert.Less(t, st.Syncs, int64(200))
	require.NoError(t, s.Close())
}

// TestFull: a bound on space, then a disk that is full, turn puts away and lose
// nothing; deletes work, and make room.
func TestFull(t *testing.T) {
	for _, disk := range []bool{false, true} {
		t.Run(fmt.Sprint("disk=", disk), func(t *testing.T) {
			f, o := &faultfs.FS{}, small()
			o.ReserveBytes = 6 << 10
			if disk {
				f.Capacity = 24 << 10
			} else {
				o.Maintenance.MaxBytes = 24 << 10
			}
			b, err := newBed(f, o)
			require.NoError(t, err)
			require.NoError(t, b.upkeep(3))
			n := 0
			for ; ; n++ {
				require.Less(t, n, 1000)
				if err = b.s.Put(fmt.Appendf(nil, "%04d", n), bytes.Repeat([]byte{'x'}, 200)); err != nil {
					break
				}
				if _, uerr := b.s.RunMaintenance(time.Duration(n) * time.Millisecond); uerr != nil {
					require.NotErrorIs(t, uerr, ErrReadOnly)
				}
			}
			require.ErrorIs(t, err, ErrFull)
			require.Greater(t, n, 30)
			require.NoError(t, b.s.ReadOnlyError())
			for i := range n {
				_, err := b.s.Get(fmt.Appendf(nil, "%04d", i), 0)
				require.NoError(t, err, i)
			}
			_, err = b.s.Get(fmt.Appendf(nil, "%04d", n), 0)
			require.ErrorIs(t, err, ErrNotFound)
			hold, answers := make(chan struct{}), make(chan error, 2) // one group: what fits of it is taken
			b.s.submit(&request{do: func() error { <-hold; return nil }, then: func(uint64, error) {}})
			var big, gone Batch
			big.Put([]byte("big"), bytes.Repeat([]byte{'x'}, 2000), 0)
			gone.Delete([]byte("0000"))
			for _, c := range []*Batch{&big, &gone} {
				b.s.Submit(c, Synced, func(_ uint64, err error) { answers <- err })
			}
			close(hold)
			require.ErrorIs(t, <-answers, ErrFull)
			require.NoError(t, <-answers)
			for i := range n * 3 / 4 {
				require.NoError(t, b.s.Delete(fmt.Appendf(nil, "%04d", i)), i)
				if _, uerr := b.s.RunMaintenance(time.Duration(n+i) * time.Second); uerr != nil {
					require.NotErrorIs(t, uerr, ErrReadOnly)
				}
			}
			require.NoError(t, b.s.Compact(t.Context()))
			require.NoError(t, b.s.Put([]byte("again"), bytes.Repeat([]byte{'y'}, 200)))
			require.NoError(t, b.s.Close())
			s, r, err := Open(f, o)
			require.NoError(t, err)
			assert.Equal(t, NoLoss, r.Loss)
			assert.Equal(t, n-n*3/4+1, r.Keys)
			require.NoError(t, s.Close())
		})
	}
}

// TestSyncFails: a sync that fails once is never taken back by one that succeeds.
func TestSyncFails(t *testing.T) {
	armed := false
	f := &faultfs.FS{}
	f.FaultAt = func(_ int, op, _ string) faultfs.Fault {
		if armed && op == "sync" {
			armed = false
			return faultfs.IOError
		}
		return faultfs.NoFault
	}
	s, _, err := Open(f, small())
	require.NoError(t, err)
	require.NoError(t, s.Put([]byte("a"), []byte("1")))
	armed = true
	err = s.Put([]byte("b"), []byte("2"))
	assert.ErrorIs(t, err, ErrReadOnly)
	assert.ErrorContains(t, err, "sync")
	assert.ErrorIs(t, s.Put([]byte("c"), []byte("3")), ErrReadOnly)
	assert.ErrorIs(t, s.Sync(), ErrReadOnly)
	v, err := s.Get([]byte("a"), 0)
	require.NoError(t, err)
	assert.Equal(t, "1", string(v))
	_, err = s.Get([]byte("b"), 0)
	assert.ErrorIs(t, err, ErrNotFound)
	assert.Contains(t, s.Stats().ReadOnlyReason, "sync")
	assert.True(t, errors.Is(s.Close(), ErrReadOnly))
}
