package idempotency

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/testrig/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.RunTests(m) }

// expectedEntry is the expected state of one key.
type expectedEntry struct {
	entry   *Entry
	body    string
	expiry  time.Duration // set when the owner has ended
	waiters []uint32
}

// TestTable checks with random sequences of operations that a key is found until its owner has ended
// and its expiry time has passed, and not afterwards; that the table stays within its size limit; and
// that a new key is rejected only if it would exceed that limit.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxBytes = 4 * (entryOverhead + 2 + ReservedResultBytes)
		table, now, attempt := New(maxBytes), time.Duration(0), uint32(0)
		keys := map[string]*expectedEntry{}
		drawKey := func(t *rapid.T) string { return fmt.Sprint("k", rapid.IntRange(0, 7).Draw(t, "key")) }
		drawEntryInFlight := func(t *rapid.T) *expectedEntry {
			var all []string
			for key, k := range keys {
				if !k.entry.OwnerEnded {
					all = append(all, key)
				}
			}
			if len(all) == 0 {
				t.Skip("no request is in flight")
			}
			slices.Sort(all)
			return keys[rapid.SampledFrom(all).Draw(t, "key in flight")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				key, body := drawKey(t), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "body")
				for n, k := range keys {
					if k.entry.OwnerEnded && k.expiry <= now {
						delete(keys, n)
					}
				}
				attempt++
				used := table.UsedBytes()
				claim, err := table.Claim(now, Request{Key: key, Class: 1, Body: []byte(body)}, attempt)
				e := claim.Entry
				switch k := keys[key]; {
				case k != nil && k.body == body:
					require.NoError(t, err)
					require.False(t, claim.Owned)
					require.Same(t, k.entry, e)
				case k != nil:
					require.ErrorIs(t, err, ErrKeyReused)
					require.Nil(t, e)
				case errors.Is(err, ErrTableFull):
					require.Nil(t, e)
					require.Greater(t, used+entryOverhead+len(key)+ReservedResultBytes, maxBytes)
				default:
					require.NoError(t, err)
					require.True(t, claim.Owned)
					require.Equal(t, attempt, e.Owner)
					keys[key] = &expectedEntry{entry: e, body: body}
				}
			},
			"run": func(t *rapid.T) { drawEntryInFlight(t).entry.OwnerStarted = true },
			"wait": func(t *rapid.T) {
				k := drawEntryInFlight(t)
				attempt++
				table.AddWaiter(k.entry, attempt)
				k.waiters = append(k.waiters, attempt)
			},
			"leave": func(t *rapid.T) {
				if k := drawEntryInFlight(t); len(k.waiters) > 0 {
					table.RemoveWaiter(k.entry, k.waiters[0])
					k.waiters = k.waiters[1:]
				}
			},
			"end": func(t *rapid.T) {
				k := drawEntryInFlight(t)
				result := []byte(strings.Repeat("r", rapid.IntRange(0, ReservedResultBytes).Draw(t, "result")))
				k.expiry = now + time.Duration(rapid.IntRange(0, 20).Draw(t, "window"))
				require.Equal(t, len(k.waiters), len(table.Complete(k.entry, result, k.expiry)))
				require.Empty(t, table.Complete(k.entry, nil, 0), "waiters returned by a second Complete")
				k.waiters = nil
				if !k.entry.OwnerStarted {
					k.expiry = 0 // removed immediately, because another attempt may run
				} else {
					require.Equal(t, result, append([]byte{}, k.entry.Result...))
				}
			},
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 10).Draw(t, "elapsed")) },
			"": func(t *rapid.T) {
				require.LessOrEqual(t, table.UsedBytes(), maxBytes)
				sum := 0
				for _, e := range table.byKey {
					sum += e.bytes
				}
				require.Equal(t, sum, table.UsedBytes())
				if next, ok := table.NextExpiry(); ok {
					for _, k := range keys {
						require.True(t, !k.entry.OwnerEnded || !k.entry.OwnerStarted || k.expiry >= next || k.expiry <= now)
					}
				}
			},
		})
	})
}

// TestClassIsPartOfRequest checks that a key can't be reused with the same body in another class.
func TestClassIsPartOfRequest(t *testing.T) {
	table := New(1 << 20)
	claim, err := table.Claim(0, Request{Key: "k", Class: 1}, 1)
	require.NoError(t, err)
	require.True(t, claim.Owned)
	_, err = table.Claim(0, Request{Key: "k", Class: 2}, 2)
	require.ErrorIs(t, err, ErrKeyReused)
	require.Equal(t, 1, table.Len())
}
