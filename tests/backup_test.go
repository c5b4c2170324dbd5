package tests

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/backup"
	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/storeclient"
)

// putPairRequest is a transaction that writes the same value to two keys.
func putPairRequest(i int) kv.Request {
	v := json.RawMessage(fmt.Sprint(i))
	return kv.Request{Then: []kv.Op{{Kind: "put", Key: "pair/a", Value: v}, {Kind: "put", Key: "pair/b", Value: v}}}
}

// TestBackup: a backup taken at a follower during writes is a consistent snapshot. It can be restored only into
// a new, empty cluster.
func TestBackup(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	client := c.client()
	for i := range 40 {
		_, err := client.Put(t.Context(), fmt.Sprint("config/k", i), json.RawMessage(fmt.Sprintf(`{"n":%d}`, i)), nil)
		require.NoError(t, err)
	}
	_, err := client.Delete(t.Context(), "config/k7", nil)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() {
		for w, i := c.client(), 0; ctx.Err() == nil; i++ {
			w.Txn(ctx, putPairRequest(i))
		}
	})
	leader := c.WaitForLeader()
	follower := storeclient.New([]string{c.Peers[(leader+1)%3].Admin})
	await(t, "both keys of the transaction", func() bool { _, _, err := follower.Get(t.Context(), "pair/b", ""); return err == nil })
	var text []byte
	var head backup.Header
	for range 20 {
		head, text, err = follower.Backup(t.Context())
		require.NoError(t, err)
		_, keys, err := backup.Read(bytes.NewReader(text))
		require.NoError(t, err)
		got := map[string]string{}
		for _, k := range keys {
			got[k.Key] = string(k.Value)
			require.LessOrEqual(t, k.Revision, head.Revision)
		}
		require.Equal(t, got["pair/a"], got["pair/b"], "transaction only partly in the backup")
		require.NotContains(t, got, "config/k7")
		require.Equal(t, `{"n":39}`, got["config/k39"])
	}
	stop()
	wg.Wait()
	path := filepath.Join(t.TempDir(), "backup")
	nodes := "--nodes=" + strings.Join(client.Nodes, ",")
	out, code := runCLICombined(t, "store", "backup", path, nodes)
	require.Equal(t, 0, code, out)
	require.Contains(t, out, head.Cluster)
	_, code = runCLICombined(t, "store", "backup", path, nodes)
	require.Equal(t, 1, code, "an existing file is not overwritten")
	out, code = runCLICombined(t, "store", "restore", path, nodes)
	require.Equal(t, 1, code, out)
	require.Contains(t, out, "taken from")

	text, err = os.ReadFile(path)
	require.NoError(t, err)
	n := newRunningCluster(t, nil)
	followerFlag := "--nodes=" + n.Peers[(n.WaitForLeader()+1)%3].Admin // restores through a follower
	bad := filepath.Join(t.TempDir(), "bad")
	require.NoError(t, os.WriteFile(bad, bytes.Replace(text, []byte(`"n":39`), []byte(`"n":38`), 1), 0o600))
	out, code = runCLICombined(t, "store", "restore", bad, followerFlag)
	require.Equal(t, 1, code, out)
	require.Contains(t, out, "damaged")
	status, _ := n.Request(0, "POST", "/restore", string(text[:len(text)-3]))
	require.Equal(t, 400, status)
	for range 2 { // the second time, as a retry after a lost response
		out, code = runCLICombined(t, "store", "restore", path, followerFlag)
		require.Equal(t, 0, code, out)
	}
	for i := range 3 {
		n.WaitForValue(i, "config/k39", `{"n":39}`)
		status, _ := n.Request(i, "GET", "/store/config/k7", "")
		require.Equal(t, 404, status)
	}
	other := filepath.Join(t.TempDir(), "other")
	_, code = runCLICombined(t, "store", "backup", other, followerFlag)
	require.Equal(t, 0, code)
	_, code = runCLICombined(t, "store", "put", "note/later", "1", nodes)
	require.Equal(t, 0, code)
	again, _, err := client.Backup(t.Context())
	require.NoError(t, err)
	require.Equal(t, head.Cluster, again.Cluster)
	require.NoError(t, os.Remove(path))
	_, code = runCLICombined(t, "store", "backup", path, nodes)
	require.Equal(t, 0, code)
	out, code = runCLICombined(t, "store", "restore", path, followerFlag)
	require.Equal(t, 1, code, out)
	require.Contains(t, out, "empty")
	require.Equal(t, 204, func() int { code, _ := n.Request(1, "PUT", "/store/note/on", "1"); return code }(), "the cluster accepts writes after a refused restore")
	status, body := n.Request(0, "PUT", "/store/_cluster/id", `"x"`)
	require.Equal(t, 400, status, body)
}

// TestRestoreCutOff: during a restore no reads or writes are served, also after the leader is lost. The restore
// can be undone or repeated.
func TestRestoreCutOff(t *testing.T) {
	t.Parallel()
	var keys []backup.Entry
	value := json.RawMessage(`"` + strings.Repeat("x", 32<<10) + `"`)
	for i := range 800 {
		keys = append(keys, backup.Entry{Key: fmt.Sprintf("big/%03d", i), Revision: uint64(i + 1), Value: value})
	}
	var text bytes.Buffer
	_, err := backup.Write(&text, backup.Header{Cluster: "another", Revision: 800}, keys)
	require.NoError(t, err)
	c := newRunningCluster(t, nil)
	await(t, "the cluster's id", func() bool {
		st, err := c.client().Status(t.Context(), c.client().Nodes[0])
		return err == nil && st.Cluster != ""
	})
	begin := func(i int) {
		go c.Request(i, "POST", "/restore", text.String())
		await(t, "a restored key", func() bool {
			code, _ := c.Request(i, "GET", "/store/big/010?local=1", "")
			return code == 200
		})
	}
	leader := c.WaitForLeader()
	begin(leader)
	c.Kill(leader)
	others := storeclient.New([]string{c.Peers[(leader+1)%3].Admin, c.Peers[(leader+2)%3].Admin})
	c.WaitForLeader()
	code, body := c.Request(c.WaitForLeader(), "GET", "/store/_cluster/restore?local=1", "")
	require.Equal(t, 200, code, "the restore is incomplete: %s", body)
	for _, i := range []int{(leader + 1) % 3, (leader + 2) % 3} {
		code, body := c.Request(i, "GET", "/store/big/000", "")
		assert.Equal(t, 503, code, body)
		code, body = c.Request(i, "PUT", "/store/note/x", "1")
		assert.Equal(t, 503, code, body)
	}
	require.NoError(t, others.UndoRestore(t.Context()))
	all, _, err := others.List(t.Context(), "")
	require.NoError(t, err)
	for key := range all {
		require.True(t, strings.HasPrefix(key, "state/"), key)
	}
	out, err := others.Restore(t.Context(), bytes.NewReader(text.Bytes()))
	require.NoError(t, err)
	require.Equal(t, 800, out.Keys)
	all, _, err = others.List(t.Context(), "")
	require.NoError(t, err)
	for _, k := range keys {
		require.Equal(t, string(k.Value), string(all[k.Key]), k.Key)
	}
}

// TestOldFolder: a node with the folder of an earlier cluster is refused by the new cluster's nodes. It must
// not answer linearizable reads or change the new cluster.
func TestOldFolder(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	c.Put(0, "note/old", `1`)
	c.WaitForValue(2, "note/old", `1`)
	await(t, "the cluster's id", func() bool { return strings.Contains(c.nodes[2].log(), `"msg":"cluster id learned"`) })
	for i := range 3 {
		c.Kill(i)
	}
	old := c.Dirs[2]
	for i := range 3 { // all start with empty folders
		c.Dirs[i] = t.TempDir()
	}
	c.Bootstrap()
	c.Put(0, "note/new", `2`)
	c.Kill(2)
	c.Dirs[2] = old
	c.Start(2)
	leader := c.WaitForLeader()
	await(t, "a node to log that the peer belongs to another cluster", func() bool {
		return strings.Contains(c.nodes[2].log(), "peer belongs to another cluster") || strings.Contains(c.nodes[leader].log(), "peer belongs to another cluster")
	})
	c.Put(leader, "note/more", `3`)
	time.Sleep(2 * time.Second) // the time of four elections
	code, body := c.Request(2, "GET", "/store/note/old", "")
	assert.Equal(t, 503, code, body)
	for i := range 2 {
		c.WaitForValue(i, "note/more", `3`)
		code, body = c.Request(i, "GET", "/store/note/old", "")
		assert.Equal(t, 404, code, body)
	}
	client := c.client()
	client.Nodes = client.Nodes[:1]
	_, _, err := client.Get(t.Context(), "note/new", "")
	require.NoError(t, err)
	client.Nodes = c.client().Nodes[2:]
	_, err = client.Put(t.Context(), "note/x", json.RawMessage("1"), nil)
	require.ErrorContains(t, err, "of cluster")
	c.Kill(2) // with an empty folder it joins
	c.Dirs[2] = t.TempDir()
	c.Start(2)
	c.WaitForValue(2, "note/more", `3`)
}

// runCLICombined runs a command of the program and returns its output and errors as one text.
func runCLICombined(t *testing.T, args ...string) (string, int) {
	out, errs, code := runCLI(t, "", args...)
	return out + errs, code
}
