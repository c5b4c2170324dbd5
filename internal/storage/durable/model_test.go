package durable

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/storage/durable/faultfs"
	"oxbowbridge/internal/storage/durable/plan"
)

// TestAgainstModel compares a store with a map while it runs random writes, snapshots,
// maintenance, crashes and restarts.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &faultfs.FS{}
		b, err := newWorkload(f, smallOptions())
		require.NoError(t, err)
		var snapshot *Snapshot
		var snapshotModel string
		key := rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("k%02d", rapid.IntRange(0, 15).Draw(t, "key")) })
		randomChange := rapid.Custom(func(t *rapid.T) change {
			c := change{puts: rapid.MapOfN(key, rapid.StringN(0, 60, 80), 0, 4).Draw(t, "put"), deletes: rapid.SliceOfN(key, 0, 2).Draw(t, "del")}
			if rapid.IntRange(0, 9).Draw(t, "range") == 0 {
				c.deleteFrom, c.deleteTo = "k03", "k06"
			}
			if len(c.puts)+len(c.deletes) == 0 && c.deleteFrom == "" {
				c.deletes = []string{"none"}
			}
			return c
		})
		compareWithModel := func(t *rapid.T) {
			got, damaged := readState(t, b.store)
			require.Zero(t, damaged)
			require.Equal(t, formatModel(b.model), got)
		}
		t.Repeat(map[string]func(*rapid.T){
			"synced": func(t *rapid.T) {
				require.NoError(t, b.apply(Synced, rapid.SliceOfN(randomChange, 1, 4).Draw(t, "group")...))
			},
			"buffered": func(t *rapid.T) { require.NoError(t, b.apply(Buffered, randomChange.Draw(t, "batch"))) },
			"maintain": func(t *rapid.T) { require.NoError(t, b.runMaintenance(rapid.IntRange(1, 20).Draw(t, "steps"))) },
			"compact":  func(t *rapid.T) { require.NoError(t, b.store.Compact(t.Context())) },
			"snapshot": func(t *rapid.T) {
				if snapshot != nil {
					snapshot.Close()
				}
				snapshot, err = b.store.Snapshot()
				require.NoError(t, err)
				snapshotModel = formatModel(b.model)
			},
			"look": func(t *rapid.T) {
				if snapshot == nil {
					return
				}
				got := map[string]string{}
				require.NoError(t, snapshot.Scan(nil, nil, 0, func(i Item) bool {
					v, err := i.Value()
					require.NoError(t, err)
					got[i.Key] = string(v)
					return true
				}))
				require.Equal(t, snapshotModel, formatModel(got))
			},
			"reopen": func(t *rapid.T) {
				require.NoError(t, b.store.Close())
				s, r, err := Open(f, smallOptions())
				require.NoError(t, err)
				require.Equal(t, NoLoss, r.Loss)
				b.store, b.acknowledged, b.now, snapshot = s, len(b.states)-1, 0, nil
			},
			"crash": func(t *rapid.T) {
				f = f.AfterCrash(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), rapid.Float64Range(0, 1).Draw(t, "keep"))
				s, _, err := Open(f, smallOptions())
				require.NoError(t, err)
				got, damaged := readState(t, s)
				require.Zero(t, damaged)
				require.Contains(t, b.states[b.acknowledged:], got)
				m := map[string]string{}
				p, err := s.Snapshot()
				require.NoError(t, err)
				require.NoError(t, p.Scan(nil, nil, 0, func(i Item) bool {
					v, _ := i.Value()
					m[i.Key] = string(v)
					return true
				}))
				p.Close()
				b.store, b.model, b.states, b.acknowledged, b.now, snapshot = s, m, []string{got}, 0, 0, nil
			},
			"": compareWithModel,
		})
	})
}

// FuzzBatch: no content of a log makes the parser panic, accept an operation that no
// writer encodes, or read past the end.
func FuzzBatch(f *testing.F) {
	var b Batch
	b.Put([]byte("key"), []byte("value"), 7)
	b.Delete([]byte("other"))
	b.DeleteRange([]byte("a"), []byte("b"))
	b.move(op{key: []byte("key"), value: []byte("v")}, 3)
	b.expire("key", 4)
	f.Add(b.payload, uint32(b.opCount))
	f.Fuzz(func(t *testing.T, payload []byte, ops uint32) {
		var reencoded []byte
		if err := forEachOp(payload, ops, func(o op) error {
			end := reencoded
			reencoded = appendOp(reencoded, o)
			if o.kind == opPut || o.kind == opMove {
				copy(reencoded[len(reencoded)-checksumLen:], payload[o.offset+o.size-checksumLen:])
			}
			require.Equal(t, o.size, len(reencoded)-len(end))
			return nil
		}); err == nil {
			require.Equal(t, string(payload), string(reencoded), "an operation has one encoding only")
		}
		parseBatchHeader(payload, ops)
	})
}

func FuzzManifest(f *testing.F) {
	m := manifest{storeID: 1, generation: 2, activeSegment: 3, syncedSeq: 4, firstSegment: 1, checkpoints: [retainedCheckpoints]checkpointRef{{1, 2, 3, 4}, {4, 5, 6, 7}}}
	f.Add(m.encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := parseManifest(b); err == nil {
			require.Equal(t, b, m.encode())
		} else {
			require.ErrorIs(t, err, ErrDamaged)
		}
		if _, err := parseSegmentHeader(b, "x"); err != nil {
			require.ErrorIs(t, err, ErrDamaged)
		}
		if _, err := parseCheckpointHeader(b, "x"); err != nil {
			require.ErrorIs(t, err, ErrDamaged)
		}
	})
}

func FuzzCheckpointEntry(f *testing.F) {
	e := indexEntry{data: "keyvalue", keyLen: 3, version: 5, expiry: 9}
	f.Add(appendEntry(nil, &e, "kex", 8), "kex", uint64(8))
	d := indexEntry{data: "key", keyLen: 3, version: 5, place: valueOnDisk, segment: 1, offset: 2, size: 3}
	f.Add(appendEntry(nil, &d, "", 5), "", uint64(5))
	f.Fuzz(func(t *testing.T, b []byte, last string, seq uint64) {
		e, key, rest, err := parseEntry(b, []byte(last), seq)
		if err != nil {
			return
		}
		require.Equal(t, e.key(), string(key))
		reparsed, _, _, err := parseEntry(appendEntry(nil, &e, last, seq), []byte(last), seq)
		require.NoError(t, err)
		require.Equal(t, e, reparsed)
		require.LessOrEqual(t, len(rest), len(b))
	})
}

// TestSpaceStaysBounded: under continuous overwrites, maintenance keeps the disk usage
// below 2.5 times the live data.
func TestSpaceStaysBounded(t *testing.T) {
	f := &faultfs.FS{}
	o := Options{
		ManualMaintenance: true,
		Maintenance:       plan.Limits{MinSegmentBytes: 16 << 10, MinCheckpointLogBytes: 32 << 10},
		ReserveBytes:      1,
	}
	b, err := newWorkload(f, o)
	require.NoError(t, err)
	const keys, size = 400, 500
	peak := int64(0)
	for i := range keys * 20 {
		var batch Batch
		batch.Put(fmt.Appendf(nil, "%04d", i*7%keys), make([]byte, size), 0)
		_, err := b.store.Apply(&batch, Buffered)
		require.NoError(t, err)
		_, err = b.store.RunMaintenance(time.Duration(i) * time.Millisecond)
		require.NoError(t, err)
		if i > keys {
			peak = max(peak, b.store.Stats().UsedBytes)
		}
	}
	stats := b.store.Stats()
	t.Logf("live data: %d bytes, peak usage: %d bytes", stats.LiveBytes, peak)
	require.Less(t, float64(peak), 2.5*float64(stats.LiveBytes))
	require.NoError(t, b.store.Close())
}
