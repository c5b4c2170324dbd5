package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

const (
	backupInterval = 20 * time.Second
	// backupWatch is how long the record of the last backup is watched after the disruption.
	backupWatch = 12 * time.Second
	backupKey   = "state/fleet.backup"
)

func main() { runCase(playBackup) }

// lastBackup is the store's record of the last scheduled backup.
type lastBackup struct {
	Node     string `json:"node"`
	File     string `json:"file"`
	Revision uint64 `json:"revision"`
}

// playBackup lets three nodes take scheduled backups. The trouble: the connection over which the holder of the
// backup's lease records a backup breaks after the commit but before the reply. The backup that the store
// has recorded must exist.
func playBackup(r *rig) []string {
	armed := &atomic.Bool{}
	nodes := r.newCluster(r.freeAddress(), func(n *storeNode) {
		n.config["store"].(map[string]any)["backup"] = map[string]any{"dir": filepath.Join(r.dir, n.name+".backups"), "every": backupInterval.String(), "keep": 24}
	})
	for _, n := range nodes { // each reaches the admin ports of the others through links
		var peers []any
		for _, p := range nodes {
			admin := p.admin
			if p != n {
				admin = r.newLink(p.admin, backupKey, armed).address
			}
			peers = append(peers, map[string]any{"name": p.name, "raft": p.raft, "admin": admin})
		}
		n.config["store"].(map[string]any)["peers"] = peers
	}
	for _, n := range nodes {
		r.startNode(n)
	}
	r.awaitWritable(nodes, 30*time.Second)
	first := r.awaitBackup(nodes, 0, 20*time.Second)
	r.note("first backup: %+v", first)
	r.awaitFollowerHolds(nodes)
	if code, text := call("PUT", nodes[0].admin, "/store/config/log_level", []byte(`"info"`), 3*time.Second); code != 204 {
		r.fail("write: %d %s", code, text)
	}
	armed.Store(r.trouble)
	second := r.awaitBackup(nodes, first.Revision, backupInterval+20*time.Second)
	r.note("second backup, recorded in the store: %+v", second)
	if r.trouble && armed.Load() {
		r.fail("the backup was recorded without a link")
	}
	time.Sleep(time.Second)
	var broken []string
	for end := time.Now().Add(backupWatch); time.Now().Before(end); time.Sleep(2 * time.Second) {
		recorded := r.readBackup(nodes)
		_, err := os.Stat(recorded.File)
		r.note("the store's last backup is of revision %d; its file: %v", recorded.Revision, errorText(err))
		if err != nil && broken == nil {
			broken = append(broken, fmt.Sprintf("the store has recorded the backup of revision %d in %s on %s, and the file is gone",
				recorded.Revision, filepath.Base(recorded.File), recorded.Node))
		}
	}
	for _, n := range nodes {
		r.note("log of %s:\n%s", n.name, n.proc.logTail(6, "backup"))
	}
	return broken
}

func errorText(err error) string {
	if err == nil {
		return "exists"
	}
	return err.Error()
}

// readBackup reads the record of the last backup, by a linearizable read.
func (r *rig) readBackup(nodes []*storeNode) (recorded lastBackup) {
	for _, n := range nodes {
		code, text := call("GET", n.admin, "/store/"+backupKey, nil, 3*time.Second)
		if code == 200 {
			json.Unmarshal([]byte(text), &recorded)
			return recorded
		}
	}
	return recorded
}

// awaitBackup waits for a backup of a later revision.
func (r *rig) awaitBackup(nodes []*storeNode, after uint64, limit time.Duration) (recorded lastBackup) {
	ok := await(limit, func() bool {
		recorded = r.readBackup(nodes)
		return recorded.Revision > after
	})
	if !ok {
		r.fail("no backup in %v", limit)
	}
	return recorded
}

// awaitFollowerHolds revokes the backup's lease until a node that does not lead holds it.
func (r *rig) awaitFollowerHolds(nodes []*storeNode) {
	for range 4 {
		lead := leader(nodes)
		if lead == nil {
			r.fail("no leader")
		}
		var status struct {
			Holder string `json:"holder"`
		}
		code, text := call("GET", lead.admin, "/lease/fleet/backup", nil, 3*time.Second)
		if code == 200 && json.Unmarshal([]byte(text), &status) == nil {
			name, _, _ := strings.Cut(status.Holder, ":")
			r.note("%s leads, %s has the lease of the backups", lead.name, name)
			if name != lead.name {
				return
			}
			call("DELETE", lead.admin, "/lease/fleet/backup?revoke=1", nil, 3*time.Second)
		}
		time.Sleep(6 * time.Second)
	}
	r.fail("the leader keeps the lease of the backups")
}
