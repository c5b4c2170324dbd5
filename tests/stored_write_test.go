package tests

import (
	"archive/tar"
	"compress/gzip"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/maintenance"
)

// storedProgram is the program with which TestWriteStoredFolders rewrites testdata/stored. It must be a
// released version, because the folders stand for the disks of nodes that are upgraded.
var storedProgram = flag.String("stored-from", "", "released program with which TestWriteStoredFolders rewrites testdata/stored")

// packFolder writes a folder's files to an archive.
func packFolder(t *testing.T, dir, path string) {
	f, err := os.Create(path)
	require.NoError(t, err)
	zip := gzip.NewWriter(f)
	w := tar.NewWriter(zip)
	require.NoError(t, w.AddFS(os.DirFS(dir)))
	require.NoError(t, w.Close())
	require.NoError(t, zip.Close())
	require.NoError(t, f.Close())
}

// captureSite returns what the program reports about a running cluster; stopAndPack adds the reports on the
// stopped nodes' folders.
func (c *cluster) captureSite(t *testing.T) (site storedSite) {
	client := c.client()
	leader := c.WaitForLeader()
	var st storeapi.Status
	require.True(t, c.GetJSON(leader, "/status", &st))
	site = storedSite{Cluster: st.Cluster, Keys: map[string]storedKey{}, Leases: map[string]storedLease{}, RecoverReports: map[string]json.RawMessage{}}
	list, _, err := client.List(t.Context(), "")
	require.NoError(t, err)
	for key := range list {
		value, revision, err := client.Get(t.Context(), key, "")
		require.NoError(t, err)
		site.Keys[key] = storedKey{value, revision}
	}
	leases, err := client.ListLeases(t.Context())
	require.NoError(t, err)
	for _, l := range leases {
		if strings.HasPrefix(l.Name, "job/") { // other leases are held by processes
			site.Leases[l.Name] = storedLease{l.Holder, l.Token, l.TTLMS}
		}
	}
	site.Members = c.Members(leader)
	maintenanceStatus, err := client.MaintenanceStatus(t.Context())
	require.NoError(t, err)
	for _, order := range maintenanceStatus.Orders {
		site.Jobs = append(site.Jobs, order.Order)
	}
	site.Pause = maintenanceStatus.Pause.Reason
	return site
}

// TestWriteStoredFolders writes the folders that TestStoredMembers and TestStoredSnapshot read.
func TestWriteStoredFolders(t *testing.T) {
	if *storedProgram == "" {
		t.Skip("only with -stored-from")
	}
	require.NoError(t, os.MkdirAll(storedDir, 0o750))
	programPath = *storedProgram
	sites := map[string]storedSite{storedMembers: writeMembers(t), storedSnapshot: writeSnapshot(t)}
	text, err := json.MarshalIndent(sites, "", " ")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(storedDir, "expected.json"), append(text, '\n'), 0o600))
}

// stopAndPack stops all nodes and packs their folders.
func (c *cluster) stopAndPack(t *testing.T, dir, archive string, site *storedSite) {
	c.KillAll()
	for i, p := range c.Peers {
		site.RecoverReports[p.Name] = json.RawMessage(c.recoverReport(t, i))
	}
	packFolder(t, dir, filepath.Join(storedDir, archive))
}

func writeMembers(t *testing.T) storedSite {
	dir := t.TempDir()
	c := newClusterIn(t, dir, 3)
	c.StoreFields["backup"] = object{"dir": filepath.Join(dir, "backups"), "every": "24h", "keep": 3}
	c.Bootstrap()
	for i := range 5 {
		c.Put(i%3, fmt.Sprint("note/", i), fmt.Sprintf(`{"n":%d,"text":"café"}`, i))
	}
	c.Put(1, "note/1", `{"n":11}`)
	code, _ := c.requestWithRetry(0, "DELETE", "/store/note/4", "")
	require.Equal(t, 204, code)
	set := settings()
	set["classes"] = []object{{"name": "stored-class", "effect": "idempotent", "value": 1, "aim_ns": 1e9, "deadline_ns": 2e9}}
	text, err := json.Marshal(set)
	require.NoError(t, err)
	c.Put(0, "config/settings", string(text))
	c.Put(0, "config/log_level", `"info"`)
	c.Put(0, "config/work", `{"most":1,"most_zone":1,"share":0.5,"share_zone":1,"spare":0}`)
	c.Put(0, "state/elsewhere", `{"since_ms":1700000000000,"state":"open"}`)
	code, body := c.requestWithRetry(0, "POST", "/members/s1", "")
	require.Equal(t, 204, code, body)
	c.KillAll()
	c.Bootstrap() // the restart stores the settings as the last good ones
	for i := range 3 {
		await(t, "a start on the store's settings", func() bool { return strings.Contains(c.nodes[i].log(), `"last_good":false`) })
	}
	require.NoError(t, c.client().PauseMaintenance(t.Context(), true, "stored"))
	_, err = c.client().SubmitOrder(t.Context(), maintenance.Order{Machine: "s1", Reason: "kernel", DurationMS: 60000, Priority: 2})
	require.NoError(t, err)
	_, err = c.client().SubmitOrder(t.Context(), maintenance.Order{Machine: "s2", Reason: "disk", DurationMS: 30000})
	require.NoError(t, err)
	for i := range 3 {
		code, _ := c.acquireLease(i, fmt.Sprint("job/", i), fmt.Sprintf(`{"holder":"h%d","ttl_ms":600000}`, i))
		require.Equal(t, 200, code)
	}
	var names []string
	await(t, "a backup", func() bool {
		list, _ := os.ReadDir(filepath.Join(dir, "backups"))
		names = nil
		for _, f := range list {
			names = append(names, f.Name())
		}
		_, noted := c.Request(0, "GET", "/store/state/fleet.backup", "")
		return len(names) > 0 && strings.Contains(noted, names[len(names)-1])
	})
	time.Sleep(5 * time.Second) // time for the services' published states to settle and for the SQL mirror to follow
	site := c.captureSite(t)
	site.Backups = names
	c.stopAndPack(t, dir, storedMembers, &site)
	return site
}

func writeSnapshot(t *testing.T) storedSite {
	dir := t.TempDir()
	c := newClusterIn(t, dir, 1)
	c.Bootstrap()
	for i := range 1100 { // more entries than the snapshot threshold
		c.Put(0, fmt.Sprint("note/", i%7), fmt.Sprint(i))
	}
	_, text := c.requestWithRetry(0, "POST", "/session", "")
	var opened struct{ Session json.Number }
	require.NoError(t, json.Unmarshal([]byte(text), &opened))
	w := &storedWrite{Session: opened.Session.String(), Number: "1", Key: "note/in-session", Value: `"once"`}
	time.Sleep(250 * time.Second) // Raft checks every two to four minutes whether a snapshot is due
	var code int
	code, w.Tag = c.writeInSession(t, w)
	require.Equal(t, 204, code)
	c.Put(0, "note/after", `"the snapshot"`)
	site := c.captureSite(t)
	site.Write = w
	c.stopAndPack(t, dir, storedSnapshot, &site)
	return site
}
