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

// smallOptions returns limits so low that some KB of writes cause all kinds of
// maintenance.
func smallOptions() Options {
	return Options{
		StoreID:           0x5eed,
		MaxKeyBytes:       64,
		MaxValueBytes:     2048,
		MaxBatchBytes:     4096,
		MaxInlineBytes:    12,
		ReserveBytes:      256,
		ManualMaintenance: true,
		Maintenance: plan.Limits{
			MaxBytes:              1 << 20,
			MinSegmentBytes:       400,
			MaxSegmentBytes:       400,
			MinCheckpointLogBytes: 900,
			MaxStepBytes:          128,
			BytesPerSecond:        1 << 20,
		},
	}
}

// workload is a store with a model of its content and a history of the model's states.
type workload struct {
	store        *Store
	model        map[string]string
	states       []string // formatted model after each submitted batch; the first is the empty one
	acknowledged int      // index in states of the last acknowledged state, which must survive
	now          time.Duration
}

func newWorkload(fs vfs.FS, o Options) (*workload, error) {
	s, _, err := Open(fs, o)
	return &workload{store: s, model: map[string]string{}, states: []string{""}}, err
}

func formatModel(m map[string]string) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(m)) {
		fmt.Fprintf(&b, "%s=%s;", k, m[k])
	}
	return b.String()
}

// change is a batch in a form that also applies to the model.
type change struct {
	puts       map[string]string
	deletes    []string
	deleteFrom string // start of a range to delete; "" for no range
	deleteTo   string
}

func (c change) batch(model map[string]string) *Batch {
	var b Batch
	for _, k := range c.deletes {
		b.Delete([]byte(k))
		delete(model, k)
	}
	if c.deleteFrom != "" {
		b.DeleteRange([]byte(c.deleteFrom), []byte(c.deleteTo))
		maps.DeleteFunc(model, func(k, _ string) bool { return k >= c.deleteFrom && (c.deleteTo == "" || k < c.deleteTo) })
	}
	for _, k := range slices.Sorted(maps.Keys(c.puts)) {
		b.Put([]byte(k), []byte(c.puts[k]), 0)
		model[k] = c.puts[k]
	}
	return &b
}

// apply commits one batch for each change, all in one group.
func (b *workload) apply(level Level, changes ...change) error {
	releaseCommitter, firstState := make(chan struct{}), len(b.states)
	b.store.submit(&request{run: func() error { <-releaseCommitter; return nil }, done: func(uint64, error) {}})
	var wg sync.WaitGroup
	errs := make([]error, len(changes))
	for i, c := range changes {
		wg.Add(1)
		batch := c.batch(b.model)
		b.states = append(b.states, formatModel(b.model))
		b.store.Submit(batch, level, func(_ uint64, err error) { errs[i] = err; wg.Done() })
	}
	close(releaseCommitter)
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return err
		}
		if level == Synced {
			b.acknowledged = firstState + i
		}
	}
	return nil
}

// runMaintenance runs a number of maintenance steps.
func (b *workload) runMaintenance(steps int) error {
	for range steps {
		b.now += 2 * time.Millisecond
		if _, err := b.store.RunMaintenance(b.now); err != nil {
			return err
		}
	}
	return nil
}

// readState formats all keys and values. It omits keys whose value is damaged, and
// returns their number.
func readState(t require.TestingT, s *Store) (text string, damaged int) {
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
	return formatModel(m), damaged
}

func repeatedNumber(i, n int) string { return strings.Repeat(fmt.Sprintf("%d,", i), n) }

// runAllOperations applies all kinds of changes and maintenance to the store. It stops at the
// first error.
func (b *workload) runAllOperations() error {
	for i := range 30 {
		if err := b.apply(Synced, change{puts: map[string]string{fmt.Sprintf("k%02d", i%9): repeatedNumber(i, 4+i%30), "last": fmt.Sprint(i)}}); err != nil {
			return err
		}
		if i%4 == 1 {
			if err := b.apply(Buffered, change{puts: map[string]string{"lossy": repeatedNumber(i, 20)}}); err != nil {
				return err
			}
		}
		if i%7 == 3 {
			if err := b.apply(Synced, change{puts: map[string]string{"g1": repeatedNumber(i, 9)}}, change{deletes: []string{"k03", "g1"}},
				change{puts: map[string]string{"g2": repeatedNumber(i, 2), "g3": repeatedNumber(i, 40)}}); err != nil {
				return err
			}
		}
		if i%11 == 10 {
			if err := b.apply(Synced, change{deleteFrom: "k02", deleteTo: "k05", puts: map[string]string{"k03": "back"}}); err != nil {
				return err
			}
		}
		if err := b.runMaintenance(5); err != nil {
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
	require.NoError(t, err, "a snapshot is not affected by later writes")
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

// TestWorkload: without faults the workload causes checkpoints, compactions and dropped
// segments, and the recorded usage equals the length of the files. Without this, the
// crash tests with the same workload could miss steps of maintenance.
func TestWorkload(t *testing.T) {
	f := &faultfs.FS{}
	b, err := newWorkload(f, smallOptions())
	require.NoError(t, err)
	require.NoError(t, b.runAllOperations())
	got, damaged := readState(t, b.store)
	assert.Equal(t, formatModel(b.model), got)
	assert.Zero(t, damaged)
	stats := b.store.Stats()
	assert.Greater(t, stats.Checkpoints, int64(2))
	assert.Greater(t, stats.Compactions, int64(1))
	assert.Greater(t, stats.DroppedSegments, int64(3))
	require.NoError(t, b.store.Compact(t.Context()))
	list, _ := f.List()
	sum := int64(0)
	for _, i := range list {
		sum += i.Size
	}
	assert.Equal(t, sum, b.store.Stats().UsedBytes, "UsedBytes equals the length of all files")
	require.NoError(t, b.store.Close())
	s, r, err := Open(f, smallOptions())
	require.NoError(t, err)
	assert.Equal(t, NoLoss, r.Loss)
	got, _ = readState(t, s)
	assert.Equal(t, formatModel(b.model), got)
	require.NoError(t, s.Close())
}

// TestGroupCommit: concurrent writers share syncs, and each reads its own write.
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
	stats := s.Stats()
	assert.EqualValues(t, 320, stats.Batches)
	assert.Less(t, stats.Syncs, int64(200))
	require.NoError(t, s.Close())
}

// TestSpaceExhausted: when MaxBytes is reached or the disk is full, puts are rejected
// and no data is lost. Deletes still work and free space.
func TestSpaceExhausted(t *testing.T) {
	for _, limitedDisk := range []bool{false, true} {
		t.Run(fmt.Sprint("disk=", limitedDisk), func(t *testing.T) {
			f, o := &faultfs.FS{}, smallOptions()
			o.ReserveBytes = 6 << 10
			if limitedDisk {
				f.Capacity = 24 << 10
			} else {
				o.Maintenance.MaxBytes = 24 << 10
			}
			b, err := newWorkload(f, o)
			require.NoError(t, err)
			require.NoError(t, b.runMaintenance(3))
			n := 0
			for ; ; n++ {
				require.Less(t, n, 1000)
				if err = b.store.Put(fmt.Appendf(nil, "%04d", n), bytes.Repeat([]byte{'x'}, 200)); err != nil {
					break
				}
				if _, maintenanceErr := b.store.RunMaintenance(time.Duration(n) * time.Millisecond); maintenanceErr != nil {
					require.NotErrorIs(t, maintenanceErr, ErrReadOnly)
				}
			}
			require.ErrorIs(t, err, ErrFull)
			require.Greater(t, n, 30)
			require.NoError(t, b.store.ReadOnlyError())
			for i := range n {
				_, err := b.store.Get(fmt.Appendf(nil, "%04d", i), 0)
				require.NoError(t, err, i)
			}
			_, err = b.store.Get(fmt.Appendf(nil, "%04d", n), 0)
			require.ErrorIs(t, err, ErrNotFound)
			releaseCommitter, results := make(chan struct{}), make(chan error, 2) // one group, of which one batch fits
			b.store.submit(&request{run: func() error { <-releaseCommitter; return nil }, done: func(uint64, error) {}})
			var big, deletion Batch
			big.Put([]byte("big"), bytes.Repeat([]byte{'x'}, 2000), 0)
			deletion.Delete([]byte("0000"))
			for _, c := range []*Batch{&big, &deletion} {
				b.store.Submit(c, Synced, func(_ uint64, err error) { results <- err })
			}
			close(releaseCommitter)
			require.ErrorIs(t, <-results, ErrFull)
			require.NoError(t, <-results)
			for i := range n * 3 / 4 {
				require.NoError(t, b.store.Delete(fmt.Appendf(nil, "%04d", i)), i)
				if _, maintenanceErr := b.store.RunMaintenance(time.Duration(n+i) * time.Second); maintenanceErr != nil {
					require.NotErrorIs(t, maintenanceErr, ErrReadOnly)
				}
			}
			require.NoError(t, b.store.Compact(t.Context()))
			require.NoError(t, b.store.Put([]byte("again"), bytes.Repeat([]byte{'y'}, 200)))
			require.NoError(t, b.store.Close())
			s, r, err := Open(f, o)
			require.NoError(t, err)
			assert.Equal(t, NoLoss, r.Loss)
			assert.Equal(t, n-n*3/4+1, r.Keys)
			require.NoError(t, s.Close())
		})
	}
}

// TestFailedSyncIsPermanent: after a failed sync the store stays read-only, even if the
// next sync would succeed.
func TestFailedSyncIsPermanent(t *testing.T) {
	failNextSync := false
	f := &faultfs.FS{}
	f.FaultAt = func(_ int, op, _ string) faultfs.Fault {
		if failNextSync && op == "sync" {
			failNextSync = false
			return faultfs.IOError
		}
		return faultfs.NoFault
	}
	s, _, err := Open(f, smallOptions())
	require.NoError(t, err)
	require.NoError(t, s.Put([]byte("a"), []byte("1")))
	failNextSync = true
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
