package idempotency

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/testrig/rapidseed"
)

func TestMain(m *testing.M) {
	flag.Parse()
	rapidseed.Fix()
	os.Exit(m.Run())
}

// known is what the table has to know of one key.
type known struct {
	entry *Entry
	body  string
	until time.Duration // once it has ended
	wait  []uint32
}

// TestTable: whatever comes in whatever order, a key is found as long as something is
// owed for it or its time is not over, and never after; the bound holds; and a key is
// turned away only where there is no room.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 4 * (entryCost + 2 + ReservedResultBytes)
		table, now, try := New(most), time.Duration(0), uint32(0)
		keys := map[string]*known{}
		name := func(t *rapid.T) string { return fmt.Sprint("k", rapid.IntRange(0, 7).Draw(t, "key")) }
		live := func(t *rapid.T) *known {
			var all []string
			for key, k := range keys {
				if !k.entry.Ended {
					all = append(all, key)
				}
			}
			if len(all) == 0 {
				t.Skip("nothing is open")
			}
			slices.Sort(all)
			return keys[rapid.SampledFrom(all).Draw(t, "of the open")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				key, body := name(t), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "body")
				for n, k := range keys {
					if k.entry.Ended && k.until <= now {
						delete(keys, n)
					}
				}
				try++
				used := table.Used()
				e, verdict := table.Claim(now, Request{Key: key, Class: 1, Body: []byte(body)}, try)
				switch k := keys[key]; {
				case k != nil && k.body == body:
					require.Equal(t, Duplicate, verdict)
					require.Same(t, k.entry, e)
				case k != nil:
					require.Equal(t, KeyMismatch, verdict)
				case verdict == TableFull:
					require.Greater(t, used+entryCost+len(key)+ReservedResultBytes, most)
				default:
					require.Equal(t, Claimed, verdict)
					require.Equal(t, try, e.Owner)
					keys[key] = &known{entry: e, body: body}
				}
			},
			"run": func(t *rapid.T) { live(t).entry.Started = true },
			"wait": func(t *rapid.T) {
				k := live(t)
				try++
				table.AddWaiter(k.entry, try)
				k.wait = append(k.wait, try)
			},
			"leave": func(t *rapid.T) {
				if k := live(t); len(k.wait) > 0 {
					table.RemoveWaiter(k.entry, k.wait[0])
					k.wait = k.wait[1:]
				}
			},
			"end": func(t *rapid.T) {
				k := live(t)
				result := []byte(strings.Repeat("r", rapid.IntRange(0, ReservedResultBytes).Draw(t, "result")))
				k.until = now + time.Duration(rapid.IntRange(0, 20).Draw(t, "window"))
				require.Equal(t, len(k.wait), len(table.Complete(k.entry, result, k.until)))
				require.Empty(t, table.Complete(k.entry, nil, 0), "told twice")
				k.wait = nil
				if !k.entry.Started {
					k.until = 0 // forgotten at once: it may be run yet
				} else {
					require.Equal(t, result, append([]byte{}, k.entry.Result...))
				}
			},
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 10).Draw(t, "passes")) },
			"": func(t *rapid.T) {
				require.LessOrEqual(t, table.Used(), most)
				sum := 0
				for _, e := range table.byKey {
					sum += e.cost
				}
				require.Equal(t, sum, table.Used())
				if next, ok := table.NextExpiry(); ok {
					for _, k := range keys {
						require.True(t, !k.entry.Ended || !k.entry.Started || k.until >= next || k.until <= now)
					}
				}
			},
		})
	})
}

// TestClassIsPartOfIt: the same key and body in another class is another request.
func TestClassIsPartOfIt(t *testing.T) {
	table := New(1 << 20)
	_, verdict := table.Claim(0, Request{Key: "k", Class: 1}, 1)
	require.Equal(t, Claimed, verdict)
	_, verdict = table.Claim(0, Request{Key: "k", Class: 2}, 2)
	require.Equal(t, KeyMismatch, verdict)
	require.Equal(t, 1, table.Len())
}
