package durable_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/plan"
	"oxbowbridge/internal/storage/durable/vfs"
)

// The folders under testdata were written by the first release of format 1. The flag
// rewrites them; use it only for a new format version.
var writeFixtures = flag.Bool("write-fixtures", false, "rewrite the folders in testdata")

// formatOptions returns limits so low that some KB of writes cause new segments,
// checkpoints and compactions. The written bytes are the same in each run.
func formatOptions() durable.Options {
	return durable.Options{
		StoreID:           0x0ddba11c0ffee,
		MaxKeyBytes:       64,
		MaxValueBytes:     2048,
		MaxBatchBytes:     4096,
		MaxInlineBytes:    12,
		ReserveBytes:      256,
		ManualMaintenance: true,
		Maintenance: plan.Limits{
			MaxBytes:              1 << 20,
			MinSegmentBytes:       1200,
			MaxSegmentBytes:       1200,
			MinCheckpointLogBytes: 2000,
			MaxStepBytes:          256,
			BytesPerSecond:        1 << 20,
		},
	}
}

// formatCase is a folder in testdata, with the function that wrote it.
type formatCase struct {
	name           string
	write          func(t *testing.T, store *durable.Store)
	tornTailBytes  int64 // bytes truncated from the last batch of a store that was not closed; 0 if the store was closed
	truncatedBytes int64 // in the report of Open
	loss           durable.Loss
}

var formatCases = []formatCase{
	{name: "checkpoint", write: writeCheckpointFixture, loss: durable.NoLoss},
	{name: "compacted", write: writeCompactedFixture, loss: durable.NoLoss},
	{name: "torn", write: writeTornFixture, tornTailBytes: 7, truncatedBytes: 105, loss: durable.TailLoss},
}

// TestFormatWritten: the operations that created the fixtures still write the same
// bytes.
func TestFormatWritten(t *testing.T) {
	for _, c := range formatCases {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			store := openFolder(t, dir)
			c.write(t, store)
			fixture := filepath.Join("testdata", c.name)
			if c.tornTailBytes == 0 {
				require.NoError(t, store.Close())
			} else {
				torn := t.TempDir()
				require.NoError(t, os.CopyFS(torn, os.DirFS(dir)))
				require.NoError(t, store.Close())
				dir = torn
				truncateNewestSegment(t, dir, c.tornTailBytes)
			}
			if *writeFixtures {
				require.NoError(t, os.RemoveAll(fixture))
				require.NoError(t, os.CopyFS(fixture, os.DirFS(dir)))
			}
			want, got := readFolder(t, fixture), readFolder(t, dir)
			for name := range want {
				assert.Equal(t, want[name], got[name], name)
			}
			assert.Len(t, got, len(want))
		})
	}
}

// TestFormatRead: the fixtures are read key by key, further writes are accepted, and the
// store has all keys after it is reopened.
func TestFormatRead(t *testing.T) {
	for _, c := range formatCases {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			require.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata", c.name))))
			store := openFolder(t, dir)
			assert.Equal(t, c.loss, store.Report().Loss)
			assert.Equal(t, c.truncatedBytes, store.Report().TruncatedBytes)
			assert.Empty(t, store.Report().Faults)
			assert.Empty(t, store.Report().Warnings)
			golden := filepath.Join("testdata", c.name+".contents")
			got := dumpKeys(t, store)
			if *writeFixtures {
				require.NoError(t, os.WriteFile(golden, []byte(got), 0o600))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), got)
			for i := range 20 {
				require.NoError(t, store.Put(fmt.Appendf(nil, "later/%02d", i), generatedValue(i, 90)))
				runMaintenance(t, store, time.Hour+time.Duration(i)*time.Second, 5)
			}
			require.NoError(t, store.Delete([]byte("later/03")))
			after := dumpKeys(t, store)
			require.NoError(t, store.Close())
			store = openFolder(t, dir)
			assert.Equal(t, durable.NoLoss, store.Report().Loss)
			require.Equal(t, after, dumpKeys(t, store))
			assert.Equal(t, 19, strings.Count(after, "later/"))
			for line := range strings.Lines(string(want)) {
				assert.Contains(t, after, line)
			}
			require.NoError(t, store.Close())
		})
	}
}

// writeCheckpointFixture writes a store with two checkpoints, values in memory and on
// disk, keys that expire, and batches of every public operation after the checkpoints.
func writeCheckpointFixture(t *testing.T, store *durable.Store) {
	for i := range 40 {
		var b durable.Batch
		b.Put(fmt.Appendf(nil, "short/%02d", i), fmt.Appendf(nil, "%d", i), 0)
		b.Put(fmt.Appendf(nil, "long/%02d", i), generatedValue(i, 60+i), 0)
		b.Put(fmt.Appendf(nil, "lease/%02d", i%5), generatedValue(i, 5+10*(i%2)), 1_700_000_000+int64(i))
		apply(t, store, &b, durable.Synced)
		runMaintenance(t, store, time.Duration(i)*time.Second, 4)
	}
	require.GreaterOrEqual(t, store.Stats().Checkpoints, int64(2))
	var b durable.Batch
	b.Put([]byte("tail"), []byte("behind the checkpoint"), 0)
	b.Delete([]byte("short/07"))
	b.DeleteRange([]byte("long/10"), []byte("long/15"))
	b.Put([]byte("long/12"), generatedValue(12, 30), 1_800_000_000)
	apply(t, store, &b, durable.Buffered)
	require.NoError(t, store.Put([]byte("empty"), nil))
}

// writeCompactedFixture writes a store whose log has moves and expires, and of which
// some segments were dropped.
func writeCompactedFixture(t *testing.T, store *durable.Store) {
	for i := range 60 {
		var b durable.Batch
		b.Put(fmt.Appendf(nil, "hot/%d", i%3), generatedValue(i, 80), 0)
		if i%10 == 0 {
			b.Put(fmt.Appendf(nil, "cold/%02d", i), generatedValue(i, 70), 0)
		}
		b.Put(fmt.Appendf(nil, "due/%02d", i), generatedValue(i, 14), 100+int64(i))
		apply(t, store, &b, durable.Synced)
		runMaintenance(t, store, time.Duration(i)*time.Second, 4)
	}
	n, err := store.Expire(130, 100)
	require.NoError(t, err)
	require.Equal(t, 31, n)
	require.NoError(t, store.Compact(t.Context()))
	stats := store.Stats()
	require.Positive(t, stats.MovedBytes)
	require.Positive(t, stats.DroppedSegments)
	require.NoError(t, store.Put([]byte("last"), generatedValue(1, 20)))
	n, err = store.Expire(140, 100)
	require.NoError(t, err)
	require.Equal(t, 10, n)
}

// writeTornFixture writes a store that ends with a buffered batch, which the test
// truncates.
func writeTornFixture(t *testing.T, store *durable.Store) {
	for i := range 12 {
		require.NoError(t, store.Put(fmt.Appendf(nil, "key/%02d", i), generatedValue(i, 50)))
		runMaintenance(t, store, time.Duration(i)*time.Second, 2)
	}
	var b durable.Batch
	b.Put([]byte("lost"), generatedValue(9, 60), 0)
	apply(t, store, &b, durable.Buffered)
}

func generatedValue(seed, length int) []byte {
	value := make([]byte, length)
	for i := range value {
		value[i] = byte('a' + (seed*7+i*i)%26)
	}
	return value
}

func openFolder(t *testing.T, path string) *durable.Store {
	dir, err := vfs.OpenDir(path)
	require.NoError(t, err)
	store, _, err := durable.Open(dir, formatOptions())
	require.NoError(t, err)
	return store
}

func apply(t *testing.T, store *durable.Store, b *durable.Batch, level durable.Level) {
	_, err := store.Apply(b, level)
	require.NoError(t, err)
}

func runMaintenance(t *testing.T, store *durable.Store, now time.Duration, steps int) {
	for range steps {
		_, err := store.RunMaintenance(now)
		require.NoError(t, err)
	}
}

// dumpKeys lists every key with its version, expiry and value.
func dumpKeys(t *testing.T, store *durable.Store) string {
	snapshot, err := store.Snapshot()
	require.NoError(t, err)
	defer snapshot.Close()
	var list strings.Builder
	require.NoError(t, snapshot.Scan(nil, nil, 0, func(i durable.Item) bool {
		value, err := i.Value()
		require.NoError(t, err)
		direct, err := store.Get([]byte(i.Key), 0)
		require.NoError(t, err)
		require.Equal(t, value, direct)
		fmt.Fprintf(&list, "%q version %d expiry %d value %q\n", i.Key, i.Version, i.Expiry, value)
		return true
	}))
	return list.String()
}

// readFolder returns the files by name, without the lock file, which is empty.
func readFolder(t *testing.T, path string) map[string][]byte {
	entries, err := os.ReadDir(path)
	require.NoError(t, err)
	files := map[string][]byte{}
	for _, e := range entries {
		if e.Name() == durable.LockName {
			continue
		}
		files[e.Name()], err = os.ReadFile(filepath.Join(path, e.Name()))
		require.NoError(t, err)
	}
	return files
}

// truncateNewestSegment truncates the newest segment by a number of bytes.
func truncateNewestSegment(t *testing.T, path string, bytes int64) {
	segments, err := filepath.Glob(filepath.Join(path, "*.log"))
	require.NoError(t, err)
	newest := segments[len(segments)-1]
	info, err := os.Stat(newest)
	require.NoError(t, err)
	require.NoError(t, os.Truncate(newest, info.Size()-bytes))
}
