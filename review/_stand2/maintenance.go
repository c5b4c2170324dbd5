package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	stopMS          = 4000             // time from SIGTERM to SIGKILL
	maintenanceTime = 25 * time.Second // how long the maintenance of a machine takes
)

func main() { runCase(playMaintenance) }

// playMaintenance orders the maintenance of two of three machines, with a budget of one machine at a time. The
// trouble: while the first machine is out, the platform stops its service with SIGTERM, and with SIGKILL after
// stop_ms, and starts it again. The maintenance of two machines must not run at the same time.
func playMaintenance(r *rig) []string {
	acts := filepath.Join(r.dir, "acts.txt")
	nodes := r.newCluster("", func(n *storeNode) {
		n.config["engine"] = r.freeAddress()
		n.config["stop_ms"] = stopMS
		command := []string{filepath.Join(r.root, "bin", "review-2", "worker")}
		n.config["work"] = map[string]any{"zone": "east", "speed": 1, "every_ms": 500, "command": command, "command_ms": 60000}
	})
	os.Setenv("WORKER_ACTS", acts)
	os.Setenv("WORKER_SPAN_MS", fmt.Sprint(maintenanceTime.Milliseconds()))
	for _, n := range nodes {
		r.start("engine-"+n.name, nil, filepath.Join(r.root, "bin", "review-2", "standin"), "-engine", n.config["engine"].(string))
		r.startNode(n)
	}
	r.awaitWritable(nodes, 30*time.Second)
	// One machine of the three may be out, which is a third of the capacity, and leaves two of three voters.
	const budget = `{"most": 1, "share": 0.5, "share_zone": 0.5, "voter_spare": 0}`
	if code, text := call("PUT", nodes[0].admin, "/store/config/work", []byte(budget), 3*time.Second); code != 204 {
		r.fail("budget not set: %d %s", code, text)
	}
	time.Sleep(4 * time.Second)
	if out, err := r.cli(10*time.Second, "", "work", "--nodes", adminList(nodes), "ask", "desk-1", "desk-2", "--for", "60s"); err != nil {
		r.fail("maintenance not ordered: %v %s", err, out)
	}
	begun := func(count int) func() bool {
		return func() bool { return strings.Count(readText(acts), " begins") >= count }
	}
	if !await(20*time.Second, begun(1)) {
		r.fail("no maintenance has begun: %s", nodes[0].proc.logTail(5, "maintenance"))
	}
	var first *storeNode
	for _, n := range nodes {
		if strings.Contains(readText(acts), n.name+" begins") {
			first = n
		}
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.note("the platform stops %s: SIGTERM", first.name)
		first.proc.signal(syscall.SIGTERM)
		if !first.proc.awaitExit(stopMS * time.Millisecond) {
			r.note("SIGKILL after %d ms", stopMS)
			first.proc.signal(syscall.SIGKILL)
			first.proc.awaitExit(3 * time.Second)
		}
		r.startNode(first)
		r.note("%s is started again", first.name)
	}
	await(maintenanceTime+20*time.Second, begun(2))
	time.Sleep(3 * time.Second)
	out, _ := r.cli(5*time.Second, "", "work", "--nodes", adminList(nodes), "list")
	r.note("work list:\n%s", out)
	for _, n := range nodes {
		r.note("log of %s:\n%s", n.name, n.proc.logTail(8, "maintenance", "changes phase"))
	}
	spans := r.readActs(acts)
	if len(spans) < 2 {
		r.fail("the second machine's maintenance did not begin")
	}
	return overlaps(spans)
}
