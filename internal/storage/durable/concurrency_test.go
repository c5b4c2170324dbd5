package durable

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/storage/durable/faultfs"
	"oxbowbridge/internal/storage/durable/plan"
)

// TestConcurrentWritersAndMaintenance: writers overwrite pairs of keys while maintenance
// compacts and drops segments that snapshots read. In every snapshot both keys of a pair
// have the same value, and two scans of a snapshot return the same values.
func TestConcurrentWritersAndMaintenance(t *testing.T) {
	o := Options{MaxInlineBytes: 8, Maintenance: plan.Limits{
		MinSegmentBytes:       8 << 10,
		MaxSegmentBytes:       8 << 10,
		MinCheckpointLogBytes: 16 << 10,
		BytesPerSecond:        64 << 20,
	}}
	f := &faultfs.FS{}
	s, _, err := Open(f, o)
	require.NoError(t, err)
	const writers, writes = 4, 1500
	var writersDone, readersDone sync.WaitGroup
	stop := make(chan struct{})
	for w := range writers {
		writersDone.Add(1)
		go func() {
			defer writersDone.Done()
			rng := rand.New(rand.NewPCG(uint64(w), 1))
			for i := range writes {
				var b Batch
				k, v := rng.IntN(20), []byte(repeatedNumber(i, 1+rng.IntN(40)))
				b.Put(fmt.Appendf(nil, "%d/a/%d", w, k), v, 0)
				b.Put(fmt.Appendf(nil, "%d/b/%d", w, k), v, 0)
				_, err := s.Apply(&b, Level(i%2))
				assert.NoError(t, err)
			}
		}()
	}
	for range 3 {
		readersDone.Add(1)
		go func() {
			defer readersDone.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				p, err := s.Snapshot()
				if !assert.NoError(t, err) {
					return
				}
				first := map[string]string{}
				for pass := range 2 {
					assert.NoError(t, p.Scan(nil, nil, 0, func(i Item) bool {
						v, err := i.Value()
						assert.NoError(t, err)
						if pass == 0 {
							first[i.Key] = string(v)
						}
						return assert.Equal(t, first[i.Key], string(v))
					}))
				}
				for k, v := range first {
					assert.Equal(t, v, first[k[:2]+string('a'+'b'-k[2])+k[3:]], "both keys of a pair are written in one batch")
					got, err := s.Get([]byte(k), 0)
					assert.NoError(t, err)
					assert.NotEmpty(t, got)
				}
				p.Close()
			}
		}()
	}
	writersDone.Wait()
	close(stop)
	readersDone.Wait()
	require.NoError(t, s.Compact(t.Context()))
	stats := s.Stats()
	assert.Positive(t, stats.DroppedSegments)
	assert.Positive(t, stats.Checkpoints)
	want, _ := readState(t, s)
	require.NoError(t, s.Close())
	s, _, err = Open(f, o)
	require.NoError(t, err)
	got, _ := readState(t, s)
	assert.Equal(t, want, got)
	require.NoError(t, s.Close())
}

// TestWriteOvertakesMove: a key is written after compaction has read its old value, but
// before the move is in the log. The move must have no effect, before and after a
// restart.
func TestWriteOvertakesMove(t *testing.T) {
	f, o := &faultfs.FS{}, smallOptions()
	b, err := newWorkload(f, o)
	require.NoError(t, err)
	require.NoError(t, b.store.Put([]byte("k"), []byte(repeatedNumber(1, 30))))
	require.NoError(t, b.store.Put([]byte("gone"), []byte(repeatedNumber(1, 30))))
	require.NoError(t, b.store.rotateSegment())
	releaseCommitter, results := make(chan struct{}), make(chan error, 3)
	b.store.submit(&request{run: func() error { <-releaseCommitter; return nil }, done: func(uint64, error) {}})
	for len(b.store.requests) > 0 { // waits until the committer has dequeued the function
		runtime.Gosched()
	}
	var put, deletion Batch
	put.Put([]byte("k"), []byte(repeatedNumber(2, 30)), 0)
	deletion.Delete([]byte("gone"))
	for _, c := range []*Batch{&put, &deletion} {
		b.store.Submit(c, Synced, func(_ uint64, err error) { results <- err })
	}
	go func() {
		_, _, err := b.store.compactSegment(&compaction{segment: b.store.index.segments[1], nextOffset: headerLen}, 1<<20)
		results <- err
	}()
	for len(b.store.requests) < 3 {
		runtime.Gosched()
	}
	close(releaseCommitter)
	for range 3 {
		require.NoError(t, <-results)
	}
	for range 2 {
		v, err := b.store.Get([]byte("k"), 0)
		require.NoError(t, err)
		require.Equal(t, repeatedNumber(2, 30), string(v))
		_, err = b.store.Get([]byte("gone"), 0)
		require.ErrorIs(t, err, ErrNotFound)
		require.NoError(t, b.store.Close())
		b.store, _, err = Open(f, o)
		require.NoError(t, err)
	}
}

// TestGroupAfterFunction: batches committed before a queued function must not count
// toward the length of the group after it. Otherwise that group is cut short, and an
// additional sync is needed.
func TestGroupAfterFunction(t *testing.T) {
	const groupBytes, valueBytes = 4096, 1500
	s, _, err := Open(&faultfs.FS{}, Options{MaxGroupBytes: groupBytes, ManualMaintenance: true})
	require.NoError(t, err)
	defer s.Close()
	before := s.Stats()
	releaseCommitter, results := make(chan struct{}), make(chan error, 5)
	reportResult := func(_ uint64, err error) { results <- err }
	s.submit(&request{run: func() error { <-releaseCommitter; return nil }, done: func(uint64, error) {}})
	submitBatch := func(key string) {
		var b Batch
		b.Put([]byte(key), make([]byte, valueBytes), 0)
		s.Submit(&b, Synced, reportResult)
	}
	submitBatch("before/0")
	submitBatch("before/1")
	s.submit(&request{run: func() error { return nil }, done: reportResult})
	submitBatch("after/0")
	submitBatch("after/1")
	close(releaseCommitter)
	for range 5 {
		require.NoError(t, <-results)
	}
	after := s.Stats()
	assert.EqualValues(t, 4, after.Batches-before.Batches)
	assert.EqualValues(t, 2, after.Groups-before.Groups, "one group before the function, one after it")
	assert.EqualValues(t, 2, after.Syncs-before.Syncs, "one sync for each group")
}
