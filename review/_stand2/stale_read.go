package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	pauseTime = 6 * time.Second // of the standby's machine
	maxAge    = 60 * time.Second
	// forgetAfter is the time after which a standby that is down is taken off the list of members.
	forgetAfter = 3 * time.Second
)

func main() { runCase(playStaleRead) }

// playStaleRead reads a key at a standby of the store with a bound on the age of the state. The trouble: that
// standby falls silent for 6 s. The key was written once, before, so every answer must have its value.
func playStaleRead(r *rig) []string {
	nodes := r.newCluster(r.freeAddress(), func(n *storeNode) {
		n.config["store"].(map[string]any)["forget_after_ms"] = forgetAfter.Milliseconds()
	})
	for _, n := range nodes {
		r.startNode(n)
	}
	r.awaitWritable(nodes, 30*time.Second)
	standby := r.newStandby(nodes, "desk-4")
	r.startNode(standby)
	r.startNode(r.newStandby(nodes, "desk-5")) // a fifth of the services falls silent
	if code, text := call("PUT", nodes[0].admin, "/store/config/review", []byte(`"the value"`), 3*time.Second); code != 204 {
		r.fail("write: %d %s", code, text)
	}
	path := "/store/config/review?stale=" + maxAge.String()
	read := func() (int, string) { return call("GET", standby.admin, path, nil, 3*time.Second) }
	if !await(20*time.Second, func() bool { code, _ := read(); return code == 200 && r.isMember(nodes, standby) }) {
		r.fail("the standby did not join: %s", standby.proc.logTail(10, "store"))
	}
	r.note("the standby has joined and has the value")
	time.Sleep(3 * time.Second)
	read()
	if r.trouble {
		r.note("the standby's machine pauses for %v", pauseTime)
		standby.proc.signal(syscall.SIGSTOP)
		time.Sleep(pauseTime)
		standby.proc.signal(syscall.SIGCONT)
		r.note("it goes on")
	}
	counts := map[string]int{}
	var broken []string
	last := ""
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		code, text := read()
		answer := fmt.Sprintf("%d %.80s", code, text)
		counts[answer]++
		if answer != last {
			r.note("read at the standby: %s", answer)
			last = answer
		}
		wrong := code == 404 || code == 200 && strings.TrimSpace(text) != `"the value"`
		if wrong && broken == nil {
			broken = append(broken, fmt.Sprintf("the standby answered %s for a key that was written before", answer))
		}
	}
	for answer, n := range counts {
		r.note("%d times: %s", n, answer)
	}
	r.note("log of the standby:\n%s", standby.proc.logTail(12, "store"))
	return broken
}

// newStandby returns a further node, which is none of the peers.
func (r *rig) newStandby(nodes []*storeNode, name string) *storeNode {
	n := &storeNode{name: name, raft: r.freeAddress(), admin: r.freeAddress(), listen: r.freeAddress()}
	n.dir = r.dir + "/" + n.name + ".store"
	text, err := json.Marshal(nodes[0].config)
	r.must(err, "configuration")
	r.must(json.Unmarshal(text, &n.config), "configuration")
	n.config["name"], n.config["listen"] = n.name, n.listen
	store := n.config["store"].(map[string]any)
	store["node"], store["dir"] = n.name, n.dir
	store["self"] = map[string]any{"name": n.name, "raft": n.raft, "admin": n.admin}
	return n
}

// isMember reports whether the leader lists a node as a member.
func (r *rig) isMember(nodes []*storeNode, n *storeNode) bool {
	code, text := call("GET", nodes[0].admin, "/members", nil, 3*time.Second)
	return code == 200 && strings.Contains(text, `"name":"`+n.name+`"`)
}
