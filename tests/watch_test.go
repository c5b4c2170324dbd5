package tests

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/storeclient"
	"oxbowbridge/internal/cluster/watch"
)

func (c *cluster) client() *storeclient.Client {
	var nodes []string
	for _, p := range c.Peers {
		nodes = append(nodes, p.Admin)
	}
	return storeclient.New(nodes)
}

// watchRecorder records the revisions that a watch delivers.
type watchRecorder struct {
	mu        sync.Mutex
	revisions []watch.Revision
}

func startWatch(t *testing.T, c *storeclient.Client, prefix string, from uint64) *watchRecorder {
	f := &watchRecorder{}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Watch(ctx, prefix, from, func(r watch.Revision) error {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.revisions = append(f.revisions, r)
		return nil
	})
	return f
}

func (f *watchRecorder) received() []watch.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.revisions)
}

// awaitKey waits until the watch has delivered a change of a key.
func (f *watchRecorder) awaitKey(t *testing.T, key string) {
	await(t, "a watch event for "+key, func() bool {
		for _, r := range f.received() {
			for _, k := range r.Changes {
				if k.Key == key {
					return true
				}
			}
		}
		return false
	})
}

// TestWatchThroughKills: nodes are killed in turn while watches that started at the same revision continue at
// other nodes. Each watch must deliver every write under its prefix once, in order and with complete
// transactions.
func TestWatchThroughKills(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	first, err := c.client().Put(t.Context(), "w/first", json.RawMessage("0"), nil)
	require.NoError(t, err)
	watches := []*watchRecorder{startWatch(t, c.client(), "w/", first.Revision), startWatch(t, c.client(), "w/", first.Revision)}
	otherPrefixWatch := startWatch(t, c.client(), "other/", first.Revision)
	writer := c.client()
	want := map[uint64]string{first.Revision: "0"}
	for i := range 150 {
		if i%50 == 20 {
			node := i / 50
			c.Kill(node)
			go func() { // the node catches up while writes continue
				time.Sleep(200 * time.Millisecond)
				c.Start(node)
			}()
		}
		value := fmt.Sprint(i)
		a, err := writer.Txn(t.Context(), kv.Request{Then: []kv.Op{
			{Kind: "put", Key: "w/a", Value: json.RawMessage(value)}, {Kind: "put", Key: "other/x", Value: json.RawMessage("1")},
			{Kind: "put", Key: "w/b", Value: json.RawMessage(value)}}})
		require.NoError(t, err)
		want[a.Revision] = value
	}
	_, err = writer.Delete(t.Context(), "w/a", nil)
	require.NoError(t, err)
	_, err = writer.Put(t.Context(), "w/end", json.RawMessage("1"), nil)
	require.NoError(t, err)
	for _, f := range watches {
		f.awaitKey(t, "w/end")
		last, got := uint64(0), map[uint64]string{}
		for _, r := range f.received() {
			require.Greater(t, r.Number, last, "revisions in order, without repetitions")
			last = r.Number
			switch len(r.Changes) {
			case 1:
				if r.Changes[0].Key == "w/first" {
					got[r.Number] = string(r.Changes[0].Value)
				} else if r.Changes[0].Key == "w/a" {
					require.True(t, r.Changes[0].Deleted)
				}
			case 2:
				require.Equal(t, []string{"w/a", "w/b"}, []string{r.Changes[0].Key, r.Changes[1].Key})
				require.Equal(t, r.Changes[0].Value, r.Changes[1].Value)
				got[r.Number] = string(r.Changes[0].Value)
			}
		}
		assert.Equal(t, want, got)
	}
	otherPrefixWatch.awaitKey(t, "other/x")
	for _, r := range otherPrefixWatch.received() {
		require.Len(t, r.Changes, 1)
		require.True(t, strings.HasPrefix(r.Changes[0].Key, "other/"))
	}
}

// TestWatchBounds: a watcher that does not read is disconnected, one that reads gets all changes, a compacted
// start position is reported, and the number of watchers is limited.
func TestWatchBounds(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	client := c.client()
	first, err := client.Put(t.Context(), "w/first", json.RawMessage("0"), nil)
	require.NoError(t, err)
	addr := c.Peers[0].Admin
	watchers := func(n int) func() bool {
		return func() bool {
			st, err := client.Status(t.Context(), addr)
			return err == nil && st.Watchers == n
		}
	}
	stalledWatcher, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer stalledWatcher.Close()
	require.NoError(t, stalledWatcher.(*net.TCPConn).SetReadBuffer(4<<10))
	fmt.Fprintf(stalledWatcher, "GET /watch?prefix=w/&from=%d HTTP/1.1\r\nHost: x\r\n\r\n", first.Revision)
	await(t, "a watcher", watchers(1))
	activeWatcher := startWatch(t, storeclient.New([]string{addr}), "w/", first.Revision)
	await(t, "a second watcher", watchers(2))
	big := json.RawMessage(`"` + strings.Repeat("x", 60<<10) + `"`)
	for i := range 160 {
		_, err := client.Put(t.Context(), fmt.Sprint("w/big", i%10), big, nil)
		require.NoError(t, err)
	}
	_, err = client.Put(t.Context(), "w/end", json.RawMessage("1"), nil)
	require.NoError(t, err)
	activeWatcher.awaitKey(t, "w/end")
	assert.Len(t, activeWatcher.received(), 162)
	await(t, "the watcher that does not read to be disconnected", watchers(1))

	code, text := c.Request(0, "GET", fmt.Sprint("/watch?from=", first.Revision), "")
	assert.Equal(t, 410, code)
	var compactedResponse struct {
		Error  string
		Oldest uint64
	}
	require.NoError(t, json.Unmarshal([]byte(text), &compactedResponse))
	assert.Equal(t, "compacted", compactedResponse.Error)
	assert.Greater(t, compactedResponse.Oldest, first.Revision)
	var compacted *watch.CompactedError
	err = client.Watch(t.Context(), "", first.Revision, func(watch.Revision) error { return nil })
	require.ErrorAs(t, err, &compacted)
	laterWatch := startWatch(t, client, "w/", compacted.OldestRevision)
	laterWatch.awaitKey(t, "w/end")
	for _, query := range []string{"from=x", "from=-1", "prefix=" + strings.Repeat("p", 300)} {
		code, _ := c.Request(0, "GET", "/watch?"+query, "")
		assert.Equal(t, 400, code, query)
	}

	for range 100 {
		req, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+addr+"/watch?prefix=quiet/", nil)
		require.NoError(t, err)
		res, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer res.Body.Close()
		if res.StatusCode == 200 {
			continue
		}
		assert.Equal(t, []any{503, "1"}, []any{res.StatusCode, res.Header.Get("Retry-After")})
		assert.Equal(t, []int{204, 200}, []int{putStatus(c, 0), getStatus(c, 0)}, "other requests are served")
		return
	}
	t.Fatal("no limit of watchers reached at 100")
}

func putStatus(c *cluster, i int) int {
	code, _ := c.Request(i, "PUT", "/store/w/still", "1")
	return code
}
func getStatus(c *cluster, i int) int {
	code, _ := c.Request(i, "GET", "/store/w/still", "")
	return code
}

// TestWatchCommand: the watch command lists keys, prints changes, and exits with code 0 on SIGINT.
func TestWatchCommand(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	client := c.client()
	_, err := client.Put(t.Context(), "w/first", json.RawMessage("1"), nil)
	require.NoError(t, err)
	var out logBuffer
	cmd := exec.Command(programPath, "store", "watch", "w/", "--list", "--nodes="+strings.Join(client.Nodes, ","))
	cmd.Stdout, cmd.Stderr = &out, &out
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { cmd.Process.Kill() })
	awaitOutput := func(what string) {
		await(t, "the output line "+what, func() bool { return strings.Contains(out.log(), what) })
	}
	awaitOutput("w/first\t1\n")
	_, err = client.Put(t.Context(), "w/second", json.RawMessage(`{"x":2}`), nil)
	require.NoError(t, err)
	awaitOutput("w/second\t{\"x\":2}\n")
	_, err = client.Delete(t.Context(), "w/first", nil)
	require.NoError(t, err)
	awaitOutput("w/first\t(deleted)\n")
	require.NoError(t, cmd.Process.Signal(syscall.SIGINT))
	require.NoError(t, cmd.Wait())
	_, code := runCLICombined(t, "store", "watch", "--list", "--from", "3")
	assert.Equal(t, 2, code)
}
