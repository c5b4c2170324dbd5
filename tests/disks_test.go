package tests

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/raftstorage"
	"oxbowbridge/internal/storage/durable/faultfs"
	"oxbowbridge/internal/testrig"
)

// writeKeys writes n keys at a node, each until the write is acknowledged.
func writeKeys(c *cluster, node int, prefix string, n int) {
	for k := range n {
		c.Put(node, fmt.Sprint(prefix, "/", k), fmt.Sprint(k))
	}
}

// hasWrittenKeys reports whether a node answers reads of all n keys. It fails the test if a key is missing or
// has another value.
func hasWrittenKeys(t *testing.T, c *cluster, node int, prefix string, n int) bool {
	for k := range n {
		code, text := c.Request(node, "GET", fmt.Sprint("/store/", prefix, "/", k), "")
		if code != 200 {
			require.NotEqual(t, 404, code, "%s/%d is missing at node %d", prefix, k, node)
			return false
		}
		require.Equal(t, fmt.Sprint(k), text)
	}
	return true
}

// memberID returns a running node's member ID, its name and disk identity.
func (c *cluster) memberID(node int) string {
	var self struct{ ID string }
	c.GetJSON(node, "/self", &self)
	return self.ID
}

// TestLostDisk: n2 is stopped while keys are acknowledged, then n1 loses its disk and n0 is stopped. n1 and n2
// must refuse requests until n0 is back, because they cannot know what they lack. No key is lost, and n1
// becomes a voter again without help.
func TestLostDisk(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	writeKeys(c, 0, "early", 5)
	c.Kill(2)
	writeKeys(c, 0, "note", 40)
	c.Kill(1)
	c.WipeDir(1)
	c.Kill(0)
	c.Start(1)
	c.Start(2)
	await(t, "a log line with the awaited voters", func() bool {
		return strings.Contains(c.nodes[2].log(), `"msg":"store not serving"`) && strings.Contains(c.nodes[2].log(), "must say that this disk is not older")
	})
	await(t, "a response of the wiped node", func() bool { code, _ := c.Request(1, "GET", "/status", ""); return code == 200 })
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); { // 3 s is the time of six elections
		for i := 1; i <= 2; i++ {
			code, text := c.Request(i, "GET", "/store/note/1", "")
			assert.Equal(t, 503, code, text)
			code, text = c.Request(i, "PUT", "/store/note/1", `"new"`)
			require.Equal(t, 503, code, text)
		}
	}
	assert.Equal(t, 1, strings.Count(c.nodes[2].log(), "must say that this disk is not older"), "logged once")
	c.Start(0)
	c.WaitForVoters(0, 1, 2)
	for i := range 3 {
		await(t, "all keys", func() bool { return hasWrittenKeys(t, c, i, "note", 40) && hasWrittenKeys(t, c, i, "early", 5) })
	}
}

// TestWipedDoesNotVote: a node that lags and never stopped requests the vote of a disk that was wiped. The new
// disk at that address must not vote in its place.
func TestWipedDoesNotVote(t *testing.T) {
	t.Parallel()
	c := newLinkedCluster(t)
	leader := c.WaitForLeader()
	wipedNode, laggingNode := (leader+1)%3, (leader+2)%3
	writeKeys(c, leader, "early", 5)
	c.SetNodeLinks(laggingNode, testrig.LinkMode{Cut: true}, testrig.LinkMode{Cut: true})
	writeKeys(c, leader, "note", 20)
	c.Kill(leader)
	c.Kill(wipedNode)
	c.WipeDir(wipedNode)
	c.Start(wipedNode)
	c.HealLinks()
	await(t, "the new disk to join", func() bool { return strings.Contains(c.nodes[wipedNode].log(), `"verdict":"join"`) })
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		for _, i := range []int{wipedNode, laggingNode} {
			code, text := c.Request(i, "GET", "/store/note/1", "")
			require.Equal(t, 503, code, text)
			code, text = c.Request(i, "PUT", "/store/note/1", `"new"`)
			require.Equal(t, 503, code, text)
		}
	}
	c.Start(leader)
	c.WaitForVoters(0, 1, 2)
	for i := range 3 {
		await(t, "all keys", func() bool { return hasWrittenKeys(t, c, i, "note", 20) && hasWrittenKeys(t, c, i, "early", 5) })
	}
}

// TestEachDiskWiped wipes the disk of each voter in turn while clients continue, until none of the first disks
// is a member. No acknowledged write may be lost.
func TestEachDiskWiped(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	writeKeys(c, 0, "note", 20)
	first := c.Members(0)
	h, stop := testrig.NewHistory(), make(chan struct{})
	var wg sync.WaitGroup
	for id := range 3 {
		wg.Go(func() { h.RunClient(c.Cluster, id, stop) })
	}
	for i := range 3 {
		c.ReplaceDisk(i)
		c.WaitForVoters(0, 1, 2)
	}
	close(stop)
	wg.Wait()
	for id := range c.Members(0) {
		assert.NotContains(t, first, id)
	}
	require.True(t, h.Linearizable())
	c.WaitForEqualData(0, 1, 2)
	assert.True(t, hasWrittenKeys(t, c, 1, "note", 20))
}

// TestOlderFolder replaces a node's folder by an older copy. The node must find out from what the other nodes
// observed, also if it reaches only one of them.
func TestOlderFolder(t *testing.T) {
	t.Parallel()
	c := newLinkedCluster(t)
	for _, cut := range []bool{false, true} {
		leader := c.WaitForLeader()
		olderNode := (leader + 1) % 3
		third := (leader + 2) % 3
		c.Put(leader, "note/age", `"old"`)
		c.WaitForValue(olderNode, "note/age", `"old"`)
		olderCopy := c.CopyDir(olderNode)
		c.WaitForLeader()
		for n := range 30 {
			c.Put(leader, fmt.Sprint("more/", n), fmt.Sprint(n))
		}
		c.Put(leader, "note/age", `"new"`)
		c.WaitForValue(third, "note/age", `"new"`)
		observedIndex := func(by, of int) uint64 {
			var self, seen struct {
				ID   string
				Mark struct {
					LastIndex uint64 `json:"last_index"`
				}
				Seen struct {
					LastIndex uint64 `json:"last_index"`
				}
			}
			c.GetJSON(of, "/self?from=x", &self)
			c.GetJSON(by, "/self?from="+self.ID, &seen)
			return min(seen.Seen.LastIndex, self.Mark.LastIndex)
		}
		var before struct {
			Mark struct {
				LastIndex uint64 `json:"last_index"`
			}
		}
		require.True(t, c.GetJSON(leader, "/self?from=x", &before))
		await(t, "the watermark to be observed", func() bool { return observedIndex(third, olderNode) >= before.Mark.LastIndex })
		oldID := c.memberID(olderNode)
		c.Kill(olderNode)
		c.RestoreDir(olderNode, olderCopy)
		if cut {
			c.SetLinksBetween(olderNode, leader, testrig.LinkMode{Cut: true})
			c.Kill(leader) // the third node and the node with the older folder now form a majority
		}
		c.Start(olderNode)
		await(t, "the disk identity to be renewed", func() bool { return strings.Contains(c.nodes[olderNode].log(), "disk identity renewed") })
		if cut {
			for range 20 {
				for _, i := range []int{olderNode, third} {
					code, text := c.Request(i, "GET", "/store/note/age", "")
					assert.Equal(t, 503, code, text)
				}
				time.Sleep(50 * time.Millisecond)
			}
			c.HealLinks()
			c.Start(leader)
		}
		await(t, "the older disk's membership to end", func() bool {
			m := c.Members(leader)
			_, there := m[oldID]
			return len(m) > 0 && !there
		})
		c.WaitForVoters(0, 1, 2)
		for i := range 3 {
			c.WaitForValue(i, "note/age", `"new"`)
			await(t, "all keys", func() bool { return hasWrittenKeys(t, c, i, "more", 30) })
		}
	}
}

// TestWipedAndCutOff: a node that lost its disk and reaches no other node must not form a cluster. It rejoins
// once the others can reach it.
func TestWipedAndCutOff(t *testing.T) {
	t.Parallel()
	c := newLinkedCluster(t)
	writeKeys(c, 0, "note", 10)
	wipedNode := c.WaitForLeader()
	c.Kill(wipedNode)
	c.WipeDir(wipedNode)
	c.SetNodeLinks(wipedNode, testrig.LinkMode{Cut: true}, testrig.LinkMode{Cut: true})
	c.Start(wipedNode)
	newLeader := c.WaitForLeader(wipedNode)
	c.Put(newLeader, "note/10", "10")
	await(t, "the wiped node to log whom it waits for", func() bool {
		return strings.Contains(c.nodes[wipedNode].log(), "must say whether there is a cluster yet")
	})
	code, text := c.Request(wipedNode, "GET", "/store/note/1", "")
	assert.Equal(t, 503, code, text)
	c.HealLinks()
	c.WaitForVoters(0, 1, 2)
	await(t, "all keys", func() bool { return hasWrittenKeys(t, c, wipedNode, "note", 11) })
}

// TestMembers: a node joins from its seeds, replaces a stopped voter, is removed, is refused, and joins again
// under its old name. An operator promotes it to voter, then removes the leader.
func TestMembers(t *testing.T) {
	t.Parallel()
	c := newStoppedCluster(t, 3, 4)
	c.StoreFields["replace_after_ms"] = 1500
	c.Bootstrap()
	writeKeys(c, 0, "note", 10)
	c.Start(3)
	role := func(node int) (role string) {
		for _, m := range c.Members(c.WaitForLeader()) {
			if m.Name == c.Peers[node].Name {
				role = m.Role
			}
		}
		return role
	}
	await(t, "the node to become a learner", func() bool { return role(3) == "learner" })
	stoppedNode := (c.WaitForLeader() + 1) % 3
	c.Kill(stoppedNode)
	await(t, "the standby to become a voter", func() bool { return role(3) == "voter" && role(stoppedNode) == "learner" })
	c.Start(stoppedNode)
	await(t, "all keys", func() bool {
		return hasWrittenKeys(t, c, 3, "note", 10) && hasWrittenKeys(t, c, stoppedNode, "note", 10)
	})
	nodes := "--nodes=" + strings.Join(c.client().Nodes, ",")
	run := func(args ...string) string {
		out, errs, code := runCLI(t, "", append(append([]string{"store"}, args...), nodes)...)
		require.Zero(t, code, "%v: %s", args, errs)
		return out
	}
	name := c.Peers[3].Name
	run("remove", name)
	c.WaitForVoters(0, 1, 2) // the restarted node becomes a voter in place of the removed one
	await(t, "the node to be refused as removed", func() bool { return strings.Contains(c.nodes[3].log(), "was removed") })
	c.Kill(3)
	c.WipeDir(3)
	c.Start(3)
	await(t, "the wiped node to be refused as removed", func() bool { return strings.Contains(c.nodes[3].log(), "was removed") })
	assert.Contains(t, run("members"), "s0@")
	var m struct{ Removed []string }
	require.NoError(t, json.Unmarshal([]byte(run("members", "--json")), &m))
	assert.Equal(t, []string{name}, m.Removed)
	run("add", name)
	await(t, "the node to become a learner again", func() bool { return role(3) == "learner" })
	run("promote", name)
	await(t, "the node to become a voter", func() bool { return role(3) == "voter" })
	leader := c.WaitForLeader()
	run("remove", c.Peers[leader].Name)
	await(t, "the leader to be removed", func() bool { return c.WaitForLeader(leader) != leader && role(leader) == "" })
	_, errs, code := runCLI(t, "", "store", "remove", "nobody", nodes)
	assert.Equal(t, 1, code)
	assert.Contains(t, errs, "no such member")
	c.Put(3, "note/last", "1")
	for _, bad := range []string{`{`, `{"id":"x","raft":"127.0.0.1:1","admin":"127.0.0.1:2"}`, `{"id":"x@1","raft":"10.0.0.1:1","admin":"127.0.0.1:2"}`, `{"id":"x@1","zone":"a|b"}`} {
		code, text := c.Request(3, "POST", "/members", bad)
		assert.Equal(t, 400, code, text)
	}
}

// TestJoinBehindPartition: a node whose only seed is cut off learns the other members from that seed and joins
// through them. It waits while none of them can be reached.
func TestJoinBehindPartition(t *testing.T) {
	t.Parallel()
	c := newStoppedCluster(t, 3, 4)
	c.AddLinks()
	c.Bootstrap()
	writeKeys(c, 0, "note", 10)
	isolatedNode := (c.WaitForLeader() + 1) % 3
	c.SetNodeLinks(isolatedNode, testrig.LinkMode{Cut: true}, testrig.LinkMode{Cut: true})
	for i := range 3 {
		if i != isolatedNode {
			c.Pause(i)
		}
	}
	section := c.StoreConfig(3)
	section["peers"], section["voters"] = c.Peers[isolatedNode:isolatedNode+1], 3
	c.Launch(3, section)
	await(t, "the log line on the join request", func() bool { return strings.Contains(c.nodes[3].log(), `"msg":"join request not granted"`) })
	code, text := c.Request(3, "GET", "/store/note/1", "")
	assert.Equal(t, 503, code, text)
	for i := range 3 {
		c.Resume(i)
	}
	await(t, "all keys", func() bool { return hasWrittenKeys(t, c, 3, "note", 10) })
	assert.Empty(t, c.Members(isolatedNode), "the isolated node knows no members")
	c.HealLinks()
	await(t, "the new member at the isolated node", func() bool { return len(c.Members(isolatedNode)) == 4 })
}

// TestLeaderLostInStep kills the leader during each kind of membership change, and later all nodes. The next
// leader must finish each decided change exactly once.
func TestLeaderLostInStep(t *testing.T) {
	t.Parallel()
	c := newStoppedCluster(t, 3, 4)
	c.StoreFields["replace_after_ms"] = 1000
	c.Bootstrap()
	writeKeys(c, 0, "note", 10)
	loggedAgain := func(node int, step string) func() bool {
		n := strings.Count(c.nodes[node].log(), step)
		return func() bool { return strings.Count(c.nodes[node].log(), step) > n }
	}
	leader := c.WaitForLeader()
	learnerAdded := loggedAgain(leader, `"step":"learner"`)
	c.Start(3)
	await(t, "a learner to be added", learnerAdded)
	c.Kill(leader) // while the learner is being added; the killed leader is then the voter to replace
	secondLeader := c.WaitForLeader(leader)
	await(t, "a promotion to voter", loggedAgain(secondLeader, `"step":"promote"`))
	c.Kill(secondLeader)
	c.Start(leader)
	thirdLeader := c.WaitForLeader(secondLeader)
	c.Start(secondLeader)
	removedNode := (thirdLeader + 1) % 4
	await(t, "a removal to be accepted", func() bool {
		code, _ := c.Request(thirdLeader, "DELETE", "/members/"+c.Peers[removedNode].Name, "")
		return code == 204
	})
	await(t, "the member to be demoted", func() bool { return c.Members(thirdLeader)[c.memberID(removedNode)].Role != "voter" })
	c.KillAll()
	for i := range 4 {
		c.Start(i)
	}
	await(t, "the member to be removed", func() bool {
		m := c.Members(c.WaitForLeader())
		voters := 0
		for _, x := range m {
			if x.Name == c.Peers[removedNode].Name {
				return false
			}
			if x.Role == "voter" {
				voters++
			}
		}
		return voters == 3
	})
	for i := range 4 {
		if i != removedNode {
			await(t, "all keys", func() bool { return hasWrittenKeys(t, c, i, "note", 10) })
		}
	}
}

// TestDiskFails: a disk that is full, or fails writes or syncs, costs its node the leadership and its vote, but
// does not end the process. The other nodes continue, and the node returns once its disk works.
func TestDiskFails(t *testing.T) {
	t.Parallel()
	build, err := faultInjectionBuild()
	require.NoError(t, err)
	c := newStoppedCluster(t, 3, 3)
	c.buildPath = build
	c.Bootstrap()
	n := 0
	for _, diskFault := range []string{faultfs.DiskFull, faultfs.FailWrites, faultfs.FailSyncs} {
		for _, faultOnLeader := range []bool{true, false} {
			leader := c.WaitForLeader()
			faultyNode, healthyNode := leader, (leader+1)%3
			if !faultOnLeader {
				faultyNode, healthyNode = (leader+1)%3, leader
			}
			lines := strings.Count(c.nodes[faultyNode].log(), `"msg":"incarnation ended"`)
			c.InjectFault(faultyNode, diskFault)
			await(t, "a log line on the failed incarnation", func() bool {
				c.Request(healthyNode, "PUT", "/store/poke", "1")
				return strings.Count(c.nodes[faultyNode].log(), `"msg":"incarnation ended"`) > lines
			})
			c.WaitForLeader(faultyNode)
			c.Put(healthyNode, fmt.Sprint("note/", n), fmt.Sprint(n))
			n++
			code, text := c.Request(faultyNode, "GET", "/store/note/0", "")
			assert.Equal(t, 503, code, "%s, leader %v: %s", diskFault, faultOnLeader, text)
			c.nodes[faultyNode].awaitReady() // the node still serves requests
			c.InjectFault(faultyNode, "")
			c.WaitForVoters(0, 1, 2)
			await(t, "all keys", func() bool { return hasWrittenKeys(t, c, faultyNode, "note", n) })
		}
	}
}

// TestRecover: two of three nodes are lost. The third shows its state, requires the cluster's id as
// confirmation, and becomes a cluster of one. The lost nodes, when they return, serve nothing and do not rejoin
// with their old disks; with wiped disks they join.
func TestRecover(t *testing.T) {
	t.Parallel()
	c := newStoppedCluster(t, 3, 3)
	c.Bootstrap()
	writeKeys(c, 0, "note", 20)
	await(t, "all keys at the node", func() bool { return hasWrittenKeys(t, c, 2, "note", 20) })
	var st struct{ Cluster string }
	await(t, "the cluster's id", func() bool { return c.GetJSON(2, "/status", &st) && st.Cluster != "" })
	config := c.nodes[2].configPath
	_, errs, code := runCLI(t, "", "store", "recover", config)
	assert.Equal(t, 1, code, "the node is running")
	assert.Contains(t, errs, "in use")
	c.KillAll()
	out, errs, code := runCLI(t, "", "store", "recover", config)
	require.Zero(t, code, errs)
	assert.Contains(t, out, st.Cluster)
	assert.Contains(t, out, "MAY BE MISSING")
	_, errs, code = runCLI(t, "", "store", "recover", config, "--cluster", "another")
	assert.Equal(t, 1, code)
	assert.Contains(t, errs, "not confirmed")
	c.Start(2)
	await(t, "the node to wait for attestations", func() bool { return strings.Contains(c.nodes[2].log(), "must say that this disk is not older") })
	c.Kill(2)
	_, errs, code = runCLI(t, "", "store", "recover", config, "--cluster", st.Cluster)
	require.Zero(t, code, errs)
	c.Start(2)
	c.WaitForVoters(2)
	assert.True(t, hasWrittenKeys(t, c, 2, "note", 20))
	c.Put(2, "note/20", "20")
	c.Start(0)
	c.Start(1)
	for i := range 2 {
		await(t, "the log line on the recovered cluster", func() bool { return strings.Contains(c.nodes[i].log(), "recovered as") })
		await(t, "a 503 response", func() bool { code, _ := c.Request(i, "GET", "/store/note/1", ""); return code == 503 })
	}
	c.WaitForVoters(2)
	for i := range 2 {
		c.Kill(i)
		c.WipeDir(i)
		c.Start(i)
	}
	c.WaitForVoters(0, 1, 2)
	for i := range 3 {
		await(t, "all keys", func() bool { return hasWrittenKeys(t, c, i, "note", 21) })
	}
}

// TestDamagedFolder: a node whose folder lost acknowledged entries sets the folder aside and rejoins as a new
// member. It serves its callers meanwhile.
func TestDamagedFolder(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	writeKeys(c, 0, "note", 30)
	await(t, "all keys at the node", func() bool { return hasWrittenKeys(t, c, 1, "note", 30) })
	oldID := c.memberID(1)
	c.Kill(1)
	logs, err := filepath.Glob(filepath.Join(c.Dirs[1], "*.log"))
	require.NoError(t, err)
	require.NotEmpty(t, logs)
	text, err := os.ReadFile(logs[0])
	require.NoError(t, err)
	for i := range 64 {
		text[len(text)/3+i] ^= 0xff // damages the middle of the file, before valid entries
	}
	require.NoError(t, os.WriteFile(logs[0], text, 0o600))
	c.Start(1)
	await(t, "the log line on the folder set aside", func() bool { return strings.Contains(c.nodes[1].log(), "storage folder set aside") })
	await(t, "the old disk's membership to end", func() bool {
		m := c.Members(0)
		_, there := m[oldID]
		return len(m) > 0 && !there
	})
	c.WaitForVoters(0, 1, 2)
	assert.DirExists(t, c.Dirs[1]+".refused-1")
	await(t, "all keys", func() bool { return hasWrittenKeys(t, c, 1, "note", 30) })
}

// TestFolderOfTheVersionBefore: nodes start from folders whose Raft configuration has names as member IDs. The
// IDs are replaced one after the other by IDs with a disk identity, without losing keys.
func TestFolderOfTheVersionBefore(t *testing.T) {
	t.Parallel()
	c := newStoppedCluster(t, 3, 3)
	var conf raft.Configuration
	for _, p := range c.Peers {
		conf.Servers = append(conf.Servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Raft)})
	}
	for i, p := range c.Peers {
		disk, _, err := raftstorage.Open(c.Dirs[i])
		require.NoError(t, err)
		rc := raft.DefaultConfig()
		rc.LocalID, rc.LogLevel = raft.ServerID(p.Name), "error"
		_, wire := raft.NewInmemTransport("")
		require.NoError(t, raft.BootstrapCluster(rc, disk, disk, disk, wire, conf))
		require.NoError(t, disk.Close())
	}
	c.Bootstrap()
	writeKeys(c, 0, "note", 20)
	await(t, "member IDs with disk identities", func() bool {
		m, disks := c.Members(c.WaitForLeader()), 0
		for id, x := range m {
			if strings.Contains(id, "@") && x.Role == "voter" {
				disks++
			}
		}
		return disks == 3 && len(m) == 3
	})
	for i := range 3 {
		await(t, "all keys", func() bool { return hasWrittenKeys(t, c, i, "note", 20) })
	}
	c.ReplaceDisk(0)
	c.WaitForVoters(0, 1, 2)
	assert.True(t, hasWrittenKeys(t, c, 0, "note", 20))
}

// TestStateApart: one node's state machine applied another value than the others for one entry, while its Raft
// log continues to match. The node must detect the difference, log it, set its folder aside and rejoin as a new
// member with the others' state.
func TestStateApart(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	divergedNode := (c.WaitForLeader() + 1) % 3
	other := (divergedNode + 1) % 3
	c.Put(other, "note/one", `"as most have it"`)
	c.WaitForEqualData(0, 1, 2)
	oldID := c.memberID(divergedNode)
	c.Kill(divergedNode)
	disk, _, err := raftstorage.Open(c.Dirs[divergedNode])
	require.NoError(t, err)
	last, err := disk.LastIndex()
	require.NoError(t, err)
	var entries []*raft.Log
	for i, found := last, false; !found; i-- {
		l := &raft.Log{}
		require.NoError(t, disk.GetLog(i, l))
		if found = strings.Contains(string(l.Data), "as most have it"); found {
			l.Data = []byte(strings.Replace(string(l.Data), "as most have it", "as only this one has it", 1))
		}
		entries = append([]*raft.Log{l}, entries...)
	}
	require.NoError(t, disk.DeleteRange(entries[0].Index, last))
	require.NoError(t, disk.StoreLogs(entries))
	require.NoError(t, disk.Close())
	c.Start(divergedNode)
	writeKeys(c, other, "more", 40)
	await(t, "the node to detect the difference", func() bool {
		return strings.Contains(c.nodes[divergedNode].log(), "the state differs from that of most other nodes: at entry ")
	})
	c.WaitForVoters(0, 1, 2)
	assert.NotEqual(t, oldID, c.memberID(divergedNode))
	c.WaitForValue(divergedNode, "note/one", `"as most have it"`)
	await(t, "all keys", func() bool { return hasWrittenKeys(t, c, divergedNode, "more", 40) })
	c.WaitForEqualData(0, 1, 2)
	assert.DirExists(t, c.Dirs[divergedNode]+".refused-1", "the rejected folder is kept for inspection")
}
