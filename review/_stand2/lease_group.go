package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// leaseTTL is the default of "lease run". SIGKILL follows SIGTERM after a fifth of it, if the command has not
// ended before.
const (
	leaseTTL   = 10 * time.Second
	leaseGrace = leaseTTL / 5
	// finishTime is how long the worker takes for the piece of work that it has begun when it gets SIGTERM.
	finishTime = 1500 * time.Millisecond
)

func main() { runCase(playLeaseGroup) }

// playLeaseGroup runs a worker under a lease by an operator's script, with a standby on another machine. The
// trouble is SIGTERM to the first "lease run", as when its machine is taken out. The worker may act on one
// machine at a time.
func playLeaseGroup(r *rig) []string {
	nodes := r.newCluster(r.freeAddress(), nil)
	for _, n := range nodes {
		r.startNode(n)
	}
	r.awaitWritable(nodes, 30*time.Second)
	acts := filepath.Join(r.dir, "acts.txt")
	script := filepath.Join(r.dir, "duty.sh")
	worker := filepath.Join(r.root, "bin", "review-2", "worker")
	text := "#!/bin/sh\n" + worker + "\necho \"the worker has ended with $?\"\n"
	r.must(os.WriteFile(script, []byte(text), 0o700), "script")
	leaseRun := func(name string) *proc {
		env := []string{"WORKER_NAME=" + name, "WORKER_ACTS=" + acts, fmt.Sprintf("WORKER_FINISH_MS=%d", finishTime.Milliseconds())}
		return r.start(name, env, filepath.Join(r.root, "bin", "oxbowbridge"), "lease", "run", "--nodes", adminList(nodes),
			"--ttl", leaseTTL.String(), "duty", "--", script)
	}
	begun := func(name string) func() bool {
		return func() bool { return strings.Contains(readText(acts), name+" begins") }
	}
	first := leaseRun("first")
	if !await(15*time.Second, begun("first")) {
		r.fail("the first worker did not begin: %s", readText(first.log))
	}
	second := leaseRun("second")
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.note("SIGTERM to the first lease run; its worker ends %v after SIGTERM, SIGKILL would follow after %v", finishTime, leaseGrace)
		first.signal(syscall.SIGTERM)
		if !await(20*time.Second, begun("second")) {
			r.fail("the second worker did not begin: %s", readText(second.log))
		}
	}
	time.Sleep(4 * time.Second)
	spans := r.readActs(acts)
	if len(spans) == 0 {
		r.fail("no acts")
	}
	return overlaps(spans)
}
