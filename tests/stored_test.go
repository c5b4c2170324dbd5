package tests

import (
	"archive/tar"
	"compress/gzip"
	"database/sql"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/maintenance"
	"oxbowbridge/internal/testrig"
)

const (
	storedDir      = "testdata/stored"
	storedMembers  = "members.tar.gz"  // three voters, their SQLite mirror and a scheduled backup
	storedSnapshot = "snapshot.tar.gz" // one voter with a session and a snapshot
)

// storedKey is a key as the program that wrote it returned it.
type storedKey struct {
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"revision"`
}

// storedLease holds the fields of a lease that a restart must not change.
type storedLease struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
	TTLMS  int64  `json:"ttl_ms"`
}

// storedWrite is a write in a session, which is repeated, and its response.
type storedWrite struct {
	Session string `json:"session"`
	Number  string `json:"number"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Tag     string `json:"tag"`
}

// storedSite is the expected content of the stored folders, as reported by the program that wrote them.
type storedSite struct {
	Cluster        string                     `json:"cluster"`
	Keys           map[string]storedKey       `json:"keys"`
	Leases         map[string]storedLease     `json:"leases,omitempty"`
	Members        map[string]testrig.Member  `json:"members"`
	Jobs           []maintenance.Order        `json:"jobs,omitempty"`
	Pause          string                     `json:"pause,omitempty"`
	Backups        []string                   `json:"backups,omitempty"`
	Write          *storedWrite               `json:"write,omitempty"`
	RecoverReports map[string]json.RawMessage `json:"left"` // output of "store recover --json", by node
}

func readStoredSites(t *testing.T) (sites map[string]storedSite) {
	text, err := os.ReadFile(filepath.Join(storedDir, "expected.json"))
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &sites))
	return sites
}

// newStoredCluster unpacks an archive of folders and returns a stopped cluster that uses them.
func newStoredCluster(t *testing.T, archive string, nodes int) (c *cluster, dir string) {
	dir = t.TempDir()
	unpackArchive(t, filepath.Join(storedDir, archive), dir)
	return newClusterIn(t, dir, nodes), dir
}

// newClusterIn returns a stopped cluster whose folders and SQL mirror are in dir.
func newClusterIn(t *testing.T, dir string, nodes int) *cluster {
	c := newStoppedCluster(t, nodes, nodes)
	for i, p := range c.Peers {
		c.Dirs[i] = filepath.Join(dir, p.Name)
	}
	if nodes > 1 {
		c.StoreFields["sql"] = object{"driver": "sqlite", "dsn": "file:" + filepath.Join(dir, "record.db") + "?_pragma=busy_timeout(5000)"}
	}
	c.Launch = func(i int, store map[string]any) testrig.Process {
		c.nodes[i] = startServiceBuild(t, c.buildPath, func(cfg object) {
			cfg["name"], cfg["engine"], cfg["store"] = c.Peers[i].Name, newEngineStandin(t).addr, store
			cfg["work"] = object{"zone": fmt.Sprint("z", i), "every_ms": 200, "command": []string{"true"}, "command_ms": 20000}
		})
		return c.nodes[i]
	}
	return c
}

// serviceKey matches keys that a service rewrites as soon as it runs.
var serviceKey = regexp.MustCompile(`^state/(s\d|work/.*)$`)

func (c *cluster) checkStoredKeys(t *testing.T, node int, want map[string]storedKey) {
	t.Helper()
	for key, k := range want {
		if serviceKey.MatchString(key) {
			continue
		}
		var got storedKey
		await(t, "key "+key, func() bool {
			client := c.client()
			client.Nodes = client.Nodes[node : node+1]
			value, revision, err := client.Get(t.Context(), key, "")
			got = storedKey{value, revision}
			return err == nil
		})
		assert.JSONEq(t, string(k.Value), string(got.Value), key)
		assert.Equal(t, k.Revision, got.Revision, key)
	}
}

// checkRecoverReports compares the stopped nodes' reports on their folders with the expected ones.
func (c *cluster) checkRecoverReports(t *testing.T, site storedSite) {
	t.Helper()
	for i, p := range c.Peers {
		assert.JSONEq(t, string(site.RecoverReports[p.Name]), c.recoverReport(t, i), p.Name)
	}
}

// recoverReport returns the output of "store recover --json" for a stopped node. The command counts as a start
// of the disk, so it runs on a copy of the folder.
func (c *cluster) recoverReport(t *testing.T, node int) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "copy")
	require.NoError(t, os.CopyFS(dir, os.DirFS(c.Dirs[node])))
	section := c.StoreConfig(node)
	section["dir"] = dir
	text, err := json.Marshal(object{"name": c.Peers[node].Name, "listen": freeAddr(t), "seed": "8c1f30d27a5be964", "stop_ms": 4000,
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": settings(), "engine": freeAddr(t), "store": section})
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	out, errs, code := runCLI(t, "", "store", "recover", path, "--json")
	require.Zero(t, code, errs)
	return out
}

// publishedState matches the state that an open service publishes.
var publishedState = regexp.MustCompile(`^\{"since_ms":\d{13},"state":"open"\}$`)

// TestStoredMembers: three nodes start from the folders of an earlier version. They must keep all keys with
// their revisions, the members, the leases with their tokens, the maintenance orders, the last good settings,
// the SQL mirror and the record of the last backup.
func TestStoredMembers(t *testing.T) {
	t.Parallel()
	site := readStoredSites(t)[storedMembers]
	c, dir := newStoredCluster(t, storedMembers, 3)
	c.checkRecoverReports(t, site)
	rows := mirrorRows(t, dir)
	require.NotEmpty(t, rows)
	c.checkStartOnLastGoodSettings(t, 2)
	c.Bootstrap()
	for i := range 3 {
		c.checkStoredKeys(t, i, site.Keys)
		var st storeapi.Status
		require.True(t, c.GetJSON(i, "/status", &st))
		assert.Equal(t, site.Cluster, st.Cluster)
		c.nodes[i].awaitReady() // the store answers before the service listens
		assert.Equal(t, 200, (&testbed{service: c.nodes[i]}).responseStatus("stored-class", "ok"))
		await(t, "the service's published state", func() bool {
			_, text := c.requestWithRetry(i, "GET", fmt.Sprint("/store/state/s", i), "")
			return publishedState.MatchString(strings.TrimSpace(text))
		})
	}
	c.awaitStoredMembers(t, site.Members)
	c.checkStoredLeases(t, site.Leases)
	c.checkStoredOrders(t, site)
	c.checkNewWrites(t, dir, site, rows)
	c.KillAll()
	c.checkNewBackups(t, dir, site)
}

// checkStartOnLastGoodSettings starts one node alone. Without a quorum it must start on the last good settings.
func (c *cluster) checkStartOnLastGoodSettings(t *testing.T, node int) {
	c.Start(node)
	c.nodes[node].awaitReady()
	assert.Contains(t, c.nodes[node].log(), `"last_good":true`)
	assert.Equal(t, 200, (&testbed{service: c.nodes[node]}).responseStatus("stored-class", "ok"))
	c.Kill(node)
}

func (c *cluster) awaitStoredMembers(t *testing.T, members map[string]testrig.Member) {
	await(t, "the stored members", func() bool {
		m := c.Members(c.WaitForLeader())
		for id, want := range members {
			if m[id].Role != want.Role || m[id].Name != want.Name {
				return false
			}
		}
		return len(m) == len(members)
	})
}

// checkStoredLeases checks that leases have the same holders and that their tokens are still valid.
func (c *cluster) checkStoredLeases(t *testing.T, leases map[string]storedLease) {
	for name, want := range leases {
		code, l := c.readLease(name)
		assert.Equal(t, []any{200, want.Holder, want.Token, want.TTLMS}, []any{code, l.Holder, l.Token, l.TTLMS}, name)
		code, text := c.requestWithRetry(c.WaitForLeader(), "PUT", "/lease/"+name, fmt.Sprintf(`{"token":%d}`, want.Token))
		assert.Equal(t, 200, code, "its token is valid: %s", text)
	}
}

func (c *cluster) checkStoredOrders(t *testing.T, site storedSite) {
	st, err := c.client().MaintenanceStatus(t.Context())
	require.NoError(t, err)
	require.Len(t, st.Orders, len(site.Jobs))
	for i, want := range site.Jobs {
		assert.Equal(t, want, st.Orders[i].Order)
	}
	assert.Equal(t, site.Pause, st.Pause.Reason)
}

// checkNewWrites checks that a new key reaches the SQL mirror while its rows stay, and that a new lease gets a
// token above the stored ones.
func (c *cluster) checkNewWrites(t *testing.T, dir string, site storedSite, rows map[string]string) {
	c.Put(0, "note/new", `"later"`)
	db, err := sql.Open("sqlite", "file:"+filepath.Join(dir, "record.db")+"?mode=ro&_pragma=busy_timeout(5000)")
	require.NoError(t, err)
	defer db.Close()
	await(t, "the key in the SQL mirror", func() bool { return isMirrored(db, "note/new") })
	now := mirrorRows(t, dir)
	for name, row := range rows {
		if !serviceKey.MatchString(name) {
			assert.Equal(t, row, now[name], name)
		}
	}
	code, l := c.acquireLease(0, "job/new", `{"holder":"h","ttl_ms":60000}`)
	require.Equal(t, 200, code)
	for name, want := range site.Leases {
		assert.Greater(t, l.Token, want.Token, name)
	}
}

// checkNewBackups checks that scheduled backups continue after the recorded one, whose file stays, and that the
// stored backup can be restored into a new cluster.
func (c *cluster) checkNewBackups(t *testing.T, dir string, site storedSite) {
	c.StoreFields["backup"] = object{"dir": filepath.Join(dir, "backups"), "every": "1s", "keep": 100}
	c.Bootstrap()
	await(t, "another backup", func() bool {
		list, _ := os.ReadDir(filepath.Join(dir, "backups"))
		return len(list) > len(site.Backups)
	})
	for _, name := range site.Backups {
		assert.FileExists(t, filepath.Join(dir, "backups", name))
	}
	n := newRunningCluster(t, nil)
	out, code := runCLICombined(t, "store", "restore", filepath.Join(dir, "backups", site.Backups[0]), "--nodes="+n.Peers[0].Admin)
	require.Zero(t, code, out)
	n.WaitForValue(1, "note/1", `{"n":11}`)
}

// readLease reads a lease at the leader.
func (c *cluster) readLease(name string) (code int, l storeapi.LeaseStatus) {
	code, text := c.requestWithRetry(c.WaitForLeader(), "GET", "/lease/"+name, "")
	json.Unmarshal([]byte(text), &l) // l stays empty if the text is not JSON
	return code, l
}

// TestStoredSnapshot: a node starts from a folder with a snapshot. A write repeated in a session from before
// the snapshot must take effect only once.
func TestStoredSnapshot(t *testing.T) {
	t.Parallel()
	site := readStoredSites(t)[storedSnapshot]
	c, _ := newStoredCluster(t, storedSnapshot, 1)
	c.checkRecoverReports(t, site)
	c.Bootstrap()
	w := site.Write
	code, tag := c.writeInSession(t, w)
	assert.Equal(t, []any{204, w.Tag}, []any{code, tag}, "a repeated write gets its original response")
	c.checkStoredKeys(t, 0, site.Keys)
	c.Put(0, "note/new", `"later"`)
	c.KillAll()
	c.Bootstrap()
	c.checkStoredKeys(t, 0, site.Keys)
	c.WaitForValue(0, "note/new", `"later"`)
}

// writeInSession sends a write with its session and request number; it may be a repetition.
func (c *cluster) writeInSession(t *testing.T, w *storedWrite) (code int, tag string) {
	t.Helper()
	await(t, "a response to a write in a session", func() bool {
		req, err := http.NewRequest("PUT", "http://"+c.Peers[0].Admin+"/store/"+w.Key, strings.NewReader(w.Value))
		require.NoError(t, err)
		req.Header.Set("Session", w.Session)
		req.Header.Set("Request-Number", w.Number)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		defer res.Body.Close()
		code, tag = res.StatusCode, res.Header.Get("ETag")
		return code != 503
	})
	return code, tag
}

// mirrorRows returns the rows of the SQL mirror, by key.
func mirrorRows(t *testing.T, dir string) map[string]string {
	db, err := sql.Open("sqlite", "file:"+filepath.Join(dir, "record.db")+"?mode=ro&_pragma=busy_timeout(5000)")
	require.NoError(t, err)
	defer db.Close()
	list, err := db.Query(`SELECT name, COALESCE(value, 'null'), idx FROM oxbowbridge_store`)
	require.NoError(t, err)
	defer list.Close()
	rows := map[string]string{}
	for list.Next() {
		var name, value string
		var index int64
		require.NoError(t, list.Scan(&name, &value, &index))
		rows[name] = fmt.Sprintf("%s at %d", value, index)
	}
	require.NoError(t, list.Err())
	return rows
}

// unpackArchive extracts an archive written by packFolder.
func unpackArchive(t *testing.T, path, dir string) {
	f, err := os.Open(path)
	require.NoError(t, err)
	defer f.Close()
	zip, err := gzip.NewReader(f)
	require.NoError(t, err)
	for r := tar.NewReader(zip); ; {
		h, err := r.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		require.NoError(t, err)
		require.True(t, fs.ValidPath(strings.TrimSuffix(h.Name, "/")))
		to := filepath.Join(dir, h.Name)
		if h.FileInfo().IsDir() {
			require.NoError(t, os.MkdirAll(to, 0o750))
			continue
		}
		require.NoError(t, os.MkdirAll(filepath.Dir(to), 0o750))
		content, err := io.ReadAll(r)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(to, content, 0o600))
	}
}
