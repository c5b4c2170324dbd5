package tests

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/cluster/storeclient"
)

// envPrevious names an executable of the previous version of the program.
const envPrevious = "OXBOWBRIDGE_PREVIOUS"

// mixedCluster is a cluster of three nodes of which previousNode runs the previous version of the program.
type mixedCluster struct {
	*cluster
	t        *testing.T
	previous string // path of its executable
}

const previousNode = 2

func newMixedCluster(t *testing.T, previous string) *mixedCluster {
	m := &mixedCluster{cluster: newStoppedCluster(t, 3, 3), t: t, previous: previous}
	for node := range 3 {
		m.start(node)
	}
	m.WaitForLeader()
	return m
}

// start starts a node with its version of the program.
func (m *mixedCluster) start(node int) {
	m.buildPath = ""
	if node == previousNode {
		m.buildPath = m.previous
	}
	m.Start(node)
}

// executable returns the path of the executable that a node's process runs.
func (m *mixedCluster) executable(node int) string {
	path, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", m.nodes[node].cmd.Process.Pid))
	require.NoError(m.t, err)
	return path
}

// makeLeader makes a node the leader. It stops the other two in turn, so that the one that restarts first lacks
// an entry that the wanted leader has, and cannot be elected.
func (m *mixedCluster) makeLeader(node int) {
	m.WaitForVoters(0, 1, 2)
	for m.WaitForLeader() != node {
		leader := m.WaitForLeader()
		other := 3 - leader - node
		m.Kill(other)
		m.Put(node, "election/entry", strconv.Itoa(leader))
		m.WaitForValue(node, "election/entry", strconv.Itoa(leader))
		m.Kill(leader)
		m.start(other)
		require.Equal(m.t, node, m.WaitForLeader())
		m.start(leader)
		m.WaitForVoters(0, 1, 2)
	}
}

// command runs a build of the program to its exit and returns its output.
func (m *mixedCluster) command(build string, args ...string) string {
	m.t.Helper()
	cmd := exec.Command(build, append(args, "--nodes="+strings.Join(m.client().Nodes, ","))...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	require.NoError(m.t, cmd.Run(), "%v: %s", args, stderr.String())
	return stdout.String()
}

// TestMixedVersions runs the store with this version of the program and the previous one together, as in a
// rolling upgrade, with a leader of either version.
func TestMixedVersions(t *testing.T) {
	t.Parallel()
	previous := os.Getenv(envPrevious)
	if previous == "" {
		t.Skip(envPrevious + " does not name an executable of the previous version.")
	}
	m := newMixedCluster(t, previous)
	assert.Equal(t, []string{programPath, programPath, previous}, []string{m.executable(0), m.executable(1), m.executable(2)})
	for _, leader := range []int{previousNode, 0} {
		m.checkUnderLeader(leader)
	}
	m.checkFolders()
}

// checkUnderLeader makes all checks while one node leads. It repeats them if another leader was elected
// meanwhile, as happens on a busy machine.
func (m *mixedCluster) checkUnderLeader(leader int) {
	const attempts = 4
	for attempt := range attempts {
		m.makeLeader(leader)
		m.t.Logf("node %d leads, attempt %d", leader, attempt)
		prefix := fmt.Sprintf("leader%d/%d/", leader, attempt)
		m.checkWrites(prefix)
		m.checkTransactions(prefix)
		m.checkLeases(prefix)
		m.checkCommands()
		m.checkReplacedDisk(prefix, 1)
		if m.WaitForLeader() == leader {
			return
		}
	}
	require.Failf(m.t, "no stable leader", "node %d lost the leadership in each of %d attempts", leader, attempts)
}

// checkWrites writes, reads, watches and deletes keys through each node.
func (m *mixedCluster) checkWrites(prefix string) {
	t := m.t
	first, err := m.client().Put(t.Context(), prefix+"first", json.RawMessage("0"), nil)
	require.NoError(t, err)
	var watches []*watchRecorder
	for node := range 3 {
		watches = append(watches, startWatch(t, storeclient.New([]string{m.Peers[node].Admin}), prefix, first.Revision))
	}
	for node := range 3 {
		m.Put(node, fmt.Sprint(prefix, "note", node), fmt.Sprintf(`{"from":%d}`, node))
	}
	for node := range 3 {
		for writer := range 3 {
			m.WaitForValue(node, fmt.Sprint(prefix, "note", writer), fmt.Sprintf(`{"from":%d}`, writer))
		}
		code, text := m.requestWithRetry(node, "GET", "/store/"+prefix+"note0?stale=2s", "")
		assert.Equal(t, []any{200, `{"from":0}`}, []any{code, strings.TrimSpace(text)})
	}
	for node := range 3 {
		code, text := m.requestWithRetry(node, "DELETE", fmt.Sprint("/store/", prefix, "note", node), "")
		assert.Equal(t, 204, code, text)
		code, _ = m.requestWithRetry((node+1)%3, "GET", fmt.Sprint("/store/", prefix, "note", node), "")
		assert.Equal(t, 404, code)
	}
	m.Put(0, prefix+"last", "1")
	for _, f := range watches {
		f.awaitKey(t, prefix+"last")
		assert.Equal(t, watches[0].received(), f.received(), "watch events differ between nodes")
	}
	m.WaitForEqualData(0, 1, 2)
}

// checkTransactions runs a transaction whose comparisons succeed and one whose comparisons fail, in a session
// at each node.
func (m *mixedCluster) checkTransactions(prefix string) {
	t := m.t
	for node := range 3 {
		client := storeclient.New([]string{m.Peers[node].Admin})
		key := fmt.Sprint(prefix, "txn", node)
		succeeded, err := client.Txn(t.Context(), kv.Request{If: []kv.Compare{{Key: key}},
			Then: []kv.Op{{Kind: "put", Key: key, Value: json.RawMessage("1")}, {Kind: "get", Key: key}}})
		require.NoError(t, err)
		require.True(t, succeeded.Succeeded)
		require.Len(t, succeeded.Results, 2)
		assert.Equal(t, "1", string(succeeded.Results[1].Value))
		failed, err := client.Txn(t.Context(), kv.Request{If: []kv.Compare{{Key: key, Revision: succeeded.Revision + 1}},
			Then: []kv.Op{{Kind: "delete", Key: key}}, Else: []kv.Op{{Kind: "get", Key: key}}})
		require.NoError(t, err)
		require.False(t, failed.Succeeded)
		require.Len(t, failed.Results, 1)
		assert.Equal(t, succeeded.Revision, failed.Results[0].Revision)
		m.WaitForValue((node+1)%3, key, "1")
	}
}

// checkLeases acquires a lease through each node, renews it through all nodes, writes with its fencing token,
// and releases it to a waiter at another node.
func (m *mixedCluster) checkLeases(prefix string) {
	t := m.t
	for node := range 3 {
		name := fmt.Sprint(prefix, "job", node)
		code, lease := m.acquireLease(node, name, `{"holder":"h1","ttl_ms":60000}`)
		require.Equal(t, 200, code)
		for other := range 3 {
			code, text := m.requestWithRetry(other, "PUT", "/lease/"+name, fmt.Sprintf(`{"token":%d}`, lease.Token))
			assert.Equal(t, 200, code, text)
			code, text = m.requestWithRetry(other, "PUT", "/lease", fmt.Sprintf(`{"leases":[{"name":%q,"token":%d},{"name":"none","token":1}]}`, name, lease.Token))
			assert.Equal(t, 200, code, text)
			assert.JSONEq(t, `{"gone":["none"]}`, text)
			code, text = m.requestWithRetry(other, "GET", "/lease/"+name, "")
			assert.Equal(t, 200, code)
			assert.Contains(t, text, `"holder":"h1"`)
			code, text = m.requestWithRetry(other, "PUT", "/store/"+prefix+"fenced", "1", "Lease", fmt.Sprintf("%s/%d", name, lease.Token))
			assert.Equal(t, 204, code, text)
			code, _ = m.requestWithRetry(other, "PUT", "/store/"+prefix+"fenced", "2", "Lease", fmt.Sprintf("%s/%d", name, lease.Token+1))
			assert.Equal(t, 412, code)
		}
		next := make(chan storeapi.LeaseStatus, 1)
		go func() {
			_, l := m.acquireLease((node+1)%3, name, `{"holder":"h2","ttl_ms":60000,"wait_ms":20000}`)
			next <- l
		}()
		await(t, "a waiter for the lease", func() bool {
			_, text := m.Request((node+2)%3, "GET", "/lease/"+name, "")
			return strings.Contains(text, `"holder":"h2"`)
		})
		code, text := m.requestWithRetry((node+2)%3, "DELETE", fmt.Sprintf("/lease/%s?token=%d", name, lease.Token), "")
		assert.Equal(t, 204, code, text)
		granted := <-next
		assert.Equal(t, "h2", granted.Holder)
		assert.Greater(t, granted.Token, lease.Token)
	}
}

// nodeStatus is a row of the command "store status --json".
type nodeStatus struct {
	storeapi.Status
	Address, Away string
}

// statuses returns the status of all nodes as a build of the program prints it, once all nodes agree on the
// leader.
func (m *mixedCluster) statuses(build string) (statuses []nodeStatus) {
	await(m.t, "one leader in all statuses", func() bool {
		statuses = nil
		require.NoError(m.t, json.Unmarshal([]byte(m.command(build, "store", "status", "--json")), &statuses))
		require.Len(m.t, statuses, 3)
		leader := m.Peers[m.WaitForLeader()].Name
		return !slices.ContainsFunc(statuses, func(s nodeStatus) bool { return s.Leader != leader })
	})
	return statuses
}

// checkCommands runs the commands of both versions against nodes of both versions.
func (m *mixedCluster) checkCommands() {
	t := m.t
	for _, build := range []string{programPath, m.previous} {
		statuses := m.statuses(build)
		for node, s := range statuses {
			assert.Equal(t, []string{m.Peers[node].Name, "", ""}, []string{s.Node, s.Away, s.WaitingReason})
			assert.Equal(t, s.Node == s.Leader, s.State == "Leader", s.State)
			assert.NotZero(t, s.AppliedIndex)
			assert.NotZero(t, s.LastIndex)
			assert.Equal(t, statuses[0].Cluster, s.Cluster)
			assert.NotEmpty(t, s.Cluster)
			assert.NotEmpty(t, s.ID)
		}
		var members storeapi.Members
		require.NoError(t, json.Unmarshal([]byte(m.command(build, "store", "members", "--json")), &members))
		assert.Contains(t, []string{m.Peers[0].Name, m.Peers[1].Name, m.Peers[2].Name}, members.Leader)
		assert.Equal(t, 3, members.TargetVoters)
		assert.NotZero(t, members.ConfigIndex)
		var ids, want []string
		for node, member := range members.Members {
			ids, want = append(ids, member.ID), append(want, statuses[node].ID)
			assert.Equal(t, "voter", member.Role)
			assert.Contains(t, []string{"leader", "up"}, member.State)
		}
		slices.Sort(ids)
		slices.Sort(want)
		assert.Equal(t, want, ids)
		assert.Contains(t, m.command(build, "lease", "list"), "h2")
	}
	listed := func(build string) string {
		var all map[string]json.RawMessage
		require.NoError(t, json.Unmarshal([]byte(m.command(build, "store", "get", "--json")), &all))
		for key := range all {
			if strings.HasPrefix(key, "state/") { // the services continue to update their published states
				delete(all, key)
			}
		}
		text, err := json.Marshal(all)
		require.NoError(t, err)
		return string(text)
	}
	assert.Equal(t, listed(m.previous), listed(programPath))
}

// checkReplacedDisk makes a node rejoin with an empty disk and catch up from the leader.
func (m *mixedCluster) checkReplacedDisk(prefix string, node int) {
	before := m.memberID(node)
	m.Kill(node)
	m.WipeDir(node)
	m.Put((node+1)%3, prefix+"missed", "1")
	m.start(node)
	m.WaitForVoters(0, 1, 2)
	assert.NotEqual(m.t, before, m.memberID(node))
	m.WaitForValue(node, prefix+"missed", "1")
	m.WaitForValue(node, prefix+"fenced", "1")
	m.WaitForEqualData(0, 1, 2)
}

// checkFolders makes each node start from a folder that the other version has written.
func (m *mixedCluster) checkFolders() {
	t := m.t
	for node, build := range []string{m.previous, m.previous, ""} {
		before := m.memberID(node)
		m.Kill(node)
		m.Put((node+1)%3, fmt.Sprint("folder/missed", node), "1")
		m.buildPath = build
		m.Start(node)
		m.WaitForVoters(0, 1, 2)
		assert.Equal(t, before, m.memberID(node))
		m.WaitForValue(node, fmt.Sprint("folder/missed", node), "1")
	}
	m.KillAll()
	for node := range 3 { // starts all nodes at once
		m.start(node)
	}
	m.WaitForVoters(0, 1, 2)
	m.WaitForEqualData(0, 1, 2)
	for node := range 3 {
		m.WaitForValue(node, "folder/missed2", "1")
	}
}
