package tests

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/testrig"
)

const (
	// vouchersAllOtherVoters is the value of the setting "vouchers" with which a starting node waits for every
	// other voter.
	vouchersAllOtherVoters = -1
	// observationSaveTime is longer than a node takes to save what it observed of other disks.
	observationSaveTime = 1200 * time.Millisecond
	// refusalCheckTime is how long nodes must refuse requests; an election takes 0.5 s.
	refusalCheckTime = 3 * time.Second
	earlyKeys        = 5
	noteKeys         = 30
)

// newClusterAwaitingAllVoters returns a running cluster of three with some keys, whose nodes wait for all
// voters when they start.
func newClusterAwaitingAllVoters(t *testing.T) *cluster {
	c := newStoppedCluster(t, 3, 3)
	c.AddLinks()
	c.StoreFields["vouchers"] = vouchersAllOtherVoters
	c.Bootstrap()
	writeKeys(c, 0, "early", earlyKeys)
	for i := range 3 {
		await(t, "the early keys", func() bool { return hasWrittenKeys(t, c, i, "early", earlyKeys) })
	}
	c.WaitForVoters(0, 1, 2)
	return c
}

// logDisksOnFailure logs each node's status and its log lines on disks, if the test has failed.
func (c *cluster) logDisksOnFailure(t *testing.T) {
	if !t.Failed() {
		return
	}
	for i, node := range c.nodes {
		_, status := c.Request(i, "GET", "/status", "")
		t.Logf("node %d: GET /status: %s", i, status)
		for line := range strings.Lines(node.log()) {
			if diskLine.MatchString(line) {
				t.Logf("node %d: %s", i, strings.TrimSpace(line))
			}
		}
	}
}

// diskLine matches the log lines on disks.
var diskLine = regexp.MustCompile("store not serving|disk verdict|disk identity renewed|join request not granted")

// waitForObservation waits until node by has saved the current watermark of the disk of node of.
func (c *cluster) waitForObservation(t *testing.T, by, of int) {
	type position struct {
		LastIndex uint64 `json:"last_index"`
	}
	var self, observed struct {
		ID         string
		Mark, Seen position
	}
	require.True(t, c.GetJSON(of, "/self?from=x", &self))
	await(t, "the disk to be observed", func() bool {
		return c.GetJSON(by, "/self?from="+self.ID, &observed) && observed.Seen.LastIndex >= self.Mark.LastIndex
	})
	time.Sleep(observationSaveTime)
}

// waitForLog waits until the current process of a node has logged a text.
func (c *cluster) waitForLog(t *testing.T, node int, text string) {
	await(t, text, func() bool { return strings.Contains(c.nodes[node].log(), text) })
}

// requireNotServing waits until the nodes listen, then requires that they refuse reads and writes for
// refusalCheckTime.
func (c *cluster) requireNotServing(t *testing.T, nodes ...int) {
	for _, node := range nodes {
		await(t, "the node to listen", func() bool { code, _ := c.Request(node, "GET", "/status", ""); return code == 200 })
	}
	for end := time.Now().Add(refusalCheckTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, node := range nodes {
			code, text := c.Request(node, "GET", "/store/note/1", "")
			require.Equal(t, 503, code, "read at node %d: %s", node, text)
			code, text = c.Request(node, "PUT", "/store/note/1", `"new"`)
			require.Equal(t, 503, code, "write at node %d: %s", node, text)
		}
	}
}

// requireRecovery requires that all three nodes are voters with their current disks, have all acknowledged
// keys, and accept a write that each of them then reads.
func (c *cluster) requireRecovery(t *testing.T) {
	c.WaitForVoters(0, 1, 2)
	for i := range 3 {
		await(t, "all keys", func() bool {
			return hasWrittenKeys(t, c, i, "early", earlyKeys) && hasWrittenKeys(t, c, i, "note", noteKeys)
		})
	}
	c.Put(0, "note/last", `"new"`)
	for i := range 3 {
		c.WaitForValue(i, "note/last", `"new"`)
	}
}

// testRenewedDisk stops n0, writes keys at n1 and n2, and starts n1 with a folder from before those keys. n1
// renews its disk identity because n2 has observed the newer one. Without n0 there is no majority. Then one of
// n1 and n2 restarts, n0 starts, and the cluster must recover.
func testRenewedDisk(t *testing.T, restarted int) {
	t.Helper()
	c := newClusterAwaitingAllVoters(t)
	defer c.logDisksOnFailure(t)
	older := c.CopyDir(1)
	c.Kill(0)
	writeKeys(c, 2, "note", noteKeys)
	c.waitForObservation(t, 2, 1)
	c.Kill(1)
	c.RestoreDir(1, older)
	c.Start(1)
	c.waitForLog(t, 1, "disk identity renewed")
	c.Kill(restarted)
	c.Start(restarted)
	c.Start(0)
	c.requireRecovery(t)
}

// TestDiskGivenUpWhileOthersRestart guards against two starting voters that wait forever for the disk that the
// third voter replaced because it was older.
func TestDiskGivenUpWhileOthersRestart(t *testing.T) {
	t.Parallel()
	testRenewedDisk(t, 2)
}

// TestDiskGivenUpThenKilled guards against a cluster that waits forever for a replaced disk when the node that
// replaced it restarts at once and no longer knows why it did so.
func TestDiskGivenUpThenKilled(t *testing.T) {
	t.Parallel()
	testRenewedDisk(t, 1)
}

// TestDiskLostWhileVoterRestarts guards against a restarted voter that waits forever for a wiped disk, while
// the third voter has no majority.
func TestDiskLostWhileVoterRestarts(t *testing.T) {
	t.Parallel()
	c := newClusterAwaitingAllVoters(t)
	defer c.logDisksOnFailure(t)
	writeKeys(c, 2, "note", noteKeys)
	c.Kill(0)
	c.WipeDir(0)
	c.Kill(1)
	c.Start(0)
	c.Start(1)
	c.requireRecovery(t)
}

// TestDiskLostWhileAllRestart restarts all nodes, one with a wiped disk and one that lacks the latest keys. It
// guards against lost keys and against nodes that wait forever.
func TestDiskLostWhileAllRestart(t *testing.T) {
	t.Parallel()
	c := newClusterAwaitingAllVoters(t)
	defer c.logDisksOnFailure(t)
	c.Kill(2)
	writeKeys(c, 0, "note", noteKeys)
	c.KillAll()
	c.WipeDir(1)
	c.Start(1)
	c.Start(2)
	c.requireNotServing(t, 1, 2)
	c.waitForLog(t, 2, "must say that this disk is not older")
	c.waitForLog(t, 2, "voter's disk replaced; attestation no longer required")
	var status storeapi.Status
	require.True(t, c.GetJSON(2, "/status", &status))
	assert.NotZero(t, status.LastIndex, "last log index of a waiting node")
	assert.Contains(t, status.WaitingReason, "as its node has "+c.memberID(1))
	c.Start(0)
	c.requireRecovery(t)
}

// TestSilentVoterIsWaitedFor guards against a start without a stopped voter that alone holds some keys, which
// would lose them.
func TestSilentVoterIsWaitedFor(t *testing.T) {
	t.Parallel()
	t.Run("OlderDiskGivenUpFirst", func(t *testing.T) {
		t.Parallel()
		c := startWithOlderAndLaggingDisks(t)
		defer c.logDisksOnFailure(t)
		c.SetLinksOneWay(2, 1, testrig.LinkMode{Cut: true}) // so that n0 reaches n1 before n2 does
		c.Start(1)
		c.waitForLog(t, 0, "disk identity renewed")
		c.HealLinks()
		c.requireRecovery(t)
	})
	t.Run("OthersResumeFirst", func(t *testing.T) {
		t.Parallel()
		c := startWithOlderAndLaggingDisks(t)
		defer c.logDisksOnFailure(t)
		c.SetLinksOneWay(0, 1, testrig.LinkMode{Cut: true}) // so that n2 reaches n1 before n0 does
		c.Start(1)
		c.waitForLog(t, 2, `"verdict":"resume"`)
		c.HealLinks()
		c.requireRecovery(t)
		c.waitForLog(t, 0, "disk identity renewed")
	})
}

// stopWithOlderAndLaggingDisks returns a stopped cluster: n0 has an older folder, n2 lacks the latest keys, and
// only n1 holds them.
func stopWithOlderAndLaggingDisks(t *testing.T) *cluster {
	c := newClusterAwaitingAllVoters(t)
	older := c.CopyDir(0)
	c.Kill(2)
	writeKeys(c, 1, "note", noteKeys)
	c.waitForObservation(t, 1, 0)
	c.Kill(0)
	c.RestoreDir(0, older)
	c.Kill(1)
	return c
}

// startWithOlderAndLaggingDisks starts n0 with an older folder and n2 without the latest keys, which only n1
// holds. It requires that both refuse requests while n1 is stopped.
func startWithOlderAndLaggingDisks(t *testing.T) *cluster {
	c := stopWithOlderAndLaggingDisks(t)
	c.Start(0)
	c.Start(2)
	c.requireNotServing(t, 0, 2)
	for _, node := range []int{0, 2} {
		c.waitForLog(t, node, "must say that this disk is not older")
	}
	return c
}

// TestWrongFolder starts a node with an empty folder by mistake, then with its own again. The mistake must not
// stop the other nodes, nor keep the node from returning with its own folder.
func TestWrongFolder(t *testing.T) {
	t.Parallel()
	for name, waitForVoters := range map[string]bool{"BeforeTheEmptyOneJoins": false, "AfterTheEmptyOneHasJoined": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newClusterAwaitingAllVoters(t)
			defer c.logDisksOnFailure(t)
			writeKeys(c, 2, "note", noteKeys)
			c.Kill(0)
			trueFolder := c.Dirs[0] + ".true"
			require.NoError(t, os.Rename(c.Dirs[0], trueFolder))
			c.Kill(1)
			c.Start(0)
			c.Start(1)
			c.waitForLog(t, 0, `"verdict":"join"`)
			if waitForVoters {
				c.WaitForVoters(0, 1, 2)
			}
			c.Kill(0)
			c.WipeDir(0)
			require.NoError(t, os.Rename(trueFolder, c.Dirs[0]))
			c.Start(0)
			c.requireRecovery(t)
		})
	}
}
