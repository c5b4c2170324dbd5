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

// TestAgainstMap runs random operations, snapshots, upkeep, crashes and reopenings
// beside a plain map.
func TestAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &faultfs.FS{}
		b, err := newBed(f, small())
		require.NoError(t, err)
		var snap *Snapshot
		var frozen string
		key := rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("k%02d", rapid.IntRange(0, 15).Draw(t, "key")) })
		some := rapid.Custom(func(t *rapid.T) change {
			c := change{put: rapid.MapOfN(key, rapid.StringN(0, 60, 80), 0, 4).Draw(t, "put"), del: rapid.SliceOfN(key, 0, 2).Draw(t, "del")}
			if rapid.IntRange(0, 9).Draw(t, "range") == 0 {
				c.from, c.to = "k03", "k06"
			}
			if len(c.put)+len(c.del) == 0 && c.from == "" {
				c.del = []string{"none"}
			}
			return c
		})
		check := func(t *rapid.T) {
			got, damaged := state(t, b.s)
			require.Zero(t, damaged)
			require.Equal(t, canon(b.model), got)
		}
		t.Repeat(map[string]func(*rapid.T){
			"synced":   func(t *rapid.T) { require.NoError(t, b.apply(Synced, rapid.SliceOfN(some, 1, 4).Draw(t, "group")...)) },
			"buffered": func(t *rapid.T) { require.NoError(t, b.apply(Buffered, some.Draw(t, "batch"))) },
			"upkeep":   func(t *rapid.T) { require.NoError(t, b.upkeep(rapid.IntRange(1, 20).Draw(t, "steps"))) },
			"compact":  func(t *rapid.T) { require.NoError(t, b.s.Compact(t.Context())) },
			"snapshot": func(t *rapid.T) {
				if snap != nil {
					snap.Close()
				}
				snap, err = b.s.Snapshot()
				require.NoError(t, err)
				frozen = canon(b.model)
			},
			"look": func(t *rapid.T) {
				if snap == nil {
					return
				}
				got := map[string]string{}
				require.NoError(t, snap.Scan(nil, nil, 0, func(i Item) bool {
					v, err := i.Value()
					require.NoError(t, err)
					got[i.Key] = string(v)
					return true
				}))
				require.Equal(t, frozen, canon(got))
			},
			"reopen": func(t *rapid.T) {
				require.NoError(t, b.s.Close())
				s, r, err := Open(f, small())
				require.NoError(t, err)
				require.Equal(t, NoLoss, r.Loss)
				b.s, b.acked, b.now, snap = s, len(b.states)-1, 0, nil
			},
			"crash": func(t *rapid.T) {
				f = f.AfterCrash(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), rapid.Float64Range(0, 1).Draw(t, "keep"))
				s, _, err := Open(f, small())
				require.NoError(t, err)
				got, damaged := state(t, s)
				require.Zero(t, damaged)
				require.Contains(t, b.states[b.acked:], got)
				m := map[string]string{}
				p, err := s.Snapshot()
				require.NoError(t, err)
				require.NoError(t, p.Scan(nil, nil, 0, func(i Item) bool {
					v, _ := i.Value()
					m[i.Key] = string(v)
					return true
				}))
				p.Close()
				b.s, b.model, b.states, b.acked, b.now, snap = s, m, []string{got}, 0, 0, nil
			},
			"": check,
		})
	})
}

// FuzzFrame: nothing that a log may hold makes recovery panic, take what no writer
// wrote, or read on after it.
func FuzzFrame(f *testing.F) {
	var b Batch
	b.Put([]byte("key"), []byte("value"), 7)
	b.Delete([]byte("other"))
	b.DeleteRange([]byte("a"), []byte("b"))
	b.move(op{key: []byte("key"), value: []byte("v")}, 3)
	b.expire("key", 4)
	f.Add(b.buf, uint32(b.ops))
	f.Fuzz(func(t *testing.T, payload []byte, ops uint32) {
		var again []byte
		if err := eachOp(payload, ops, func(o op) error {
			end := again
			again = appendOp(again, o)
			if o.kind == opPut || o.kind == opMove {
				copy(again[len(again)-sumLen:], payload[o.off+o.size-sumLen:])
			}
			require.Equal(t, o.size, len(again)-len(end))
			return nil
		}); err == nil {
			require.Equal(t, string(payload), string(again), "an operation has one encoding only")
		}
		parseFrame(payload, ops)
	})
}

func FuzzManifest(f *testing.F) {
	m := manifest{store: 1, generation: 2, active: 3, floor: 4, first: 1, ckps: [keptCkps]ckpRef{{1, 2, 3, 4}, {4, 5, 6, 7}}}
	f.Add(m.encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := parseManifest(b); err == nil {
			require.Equal(t, b, m.encode())
		} else {
			require.ErrorIs(t, err, ErrDamaged)
		}
		if _, err := parseSegHeader(b, "x"); err != nil {
			require.ErrorIs(t, err, ErrDamaged)
		}
		if _, err := parseCkpHeader(b, "x"); err != nil {
			require.ErrorIs(t, err, ErrDamaged)
		}
	})
}

func FuzzCheckpointEntry(f *testing.F) {
	e := entry{data: "keyvalue", klen: 3, version: 5, expiry: 9}
	f.Add(appendEntry(nil, &e, "kex", 8), "kex", uint64(8))
	d := entry{data: "key", klen: 3, version: 5, place: onDisk, segment: 1, offset: 2, size: 3}
	f.Add(appendEntry(nil, &d, "", 5), "", uint64(5))
	f.Fuzz(func(t *testing.T, b []byte, last string, seq uint64) {
		e, key, rest, err := parseEntry(b, []byte(last), seq)
		if err != nil {
			return
		}
		require.Equal(t, e.key(), string(key))
		again, _, _, err := parseEntry(appendEntry(nil, &e, last, seq), []byte(last), seq)
		require.NoError(t, err)
		require.Equal(t, e, again)
		require.LessOrEqual(t, len(rest), len(b))
	})
}

// TestSpaceStaysBounded: upkeep keeps up with writes that never stop, within its target.
func TestSpaceStaysBounded(t *testing.T) {
	f, o := &faultfs.FS{}, Options{ManualMaintenance: true, Maintenance: plan.Limits{MinSegmentBytes: 16 << 10, MinCheckpointLogBytes: 32 << 10}, ReserveBytes: 1}
	b, err := newBed(f, o)
	require.NoError(t, err)
	const keys, size = 400, 500
	peak := int64(0)
	for i := range keys * 20 {
		var batch Batch
		batch.Put(fmt.Appendf(nil, "%04d", i*7%keys), make([]byte, size), 0)
		_, err := b.s.Apply(&batch, Buffered)
		require.NoError(t, err)
		_, err = b.s.RunMaintenance(time.Duration(i) * time.Millisecond)
		require.NoError(t, err)
		if i > keys {
			peak = max(peak, b.s.Stats().UsedBytes)
		}
	}
	st := b.s.Stats()
	t.Logf("live %d, at most %d used", st.LiveBytes, peak)
	require.Less(t, float64(peak), 2.5*float64(st.LiveBytes))
	require.NoError(t, b.s.Close())
}
