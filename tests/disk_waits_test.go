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
	// vouchersAllOtherVoters is the setting "vouchers" with which a start waits for each other voter.
	vouchersAllOtherVoters = -1
	// observationSaveTime is longer than a node keeps what it observed of other disks in memory only.
	observationSaveTime = 1200 * time.Millisecond
	// refusalCheckTime is how long nodes must refuse; an election takes half a second.
	refusalCheckTime = 3 * time.Second
	earlyKeys        = 5
	noteKeys         = 30
)

// newClusterAwaitingAllVoters is a cluster of three with some keys, each of whose starts waits for all voters.
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

// logDisksOnFailure logs what each node says of itself and of its disk, if the test has failed.
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

// diskLine matches what a node logs of its disk.
var diskLine = regexp.MustCompile("store not serving|disk verdict|disk identity renewed|join request not granted")

// waitForObservation waits until a node has saved that it observed another's disk as it is now.
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

// waitForLog waits until the present process of a node has logged a text.
func (c *cluster) waitForLog(t *testing.T, node int, text string) {
	await(t, text, func() bool { return strings.Contains(c.nodes[node].log(), text) })
}

// requireNotServing requires that nodes, once they listen, serve neither a read nor a write for some time.
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

// requireRecovery requires all three to be voters with the disks that they have, with all that was
// acknowledged, and to take a write that each of them reads afresh.
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

// testRenewedDisk has n0 go down, keys be acknowledged by n1 and n2, and n1 be found out by n2 with
// a folder from before those keys. n0 stays down; n1 and n2 are up, and have no majority. One of these
// two restarts, n0 starts, and all must recover.
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

// TestDiskGivenUpWhileOthersRestart: two voters start after a third one gave its older disk up, and wait for it for ever.
func TestDiskGivenUpWhileOthersRestart(t *testing.T) {
	t.Parallel()
	testRenewedDisk(t, 2)
}

// TestDiskGivenUpThenKilled: as above, but the one that gave its disk up restarts at once, and no longer knows why.
func TestDiskGivenUpThenKilled(t *testing.T) {
	t.Parallel()
	testRenewedDisk(t, 1)
}

// TestDiskLostWhileVoterRestarts: a restarted voter waits for ever for a wiped disk, and the third has no majority.
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

// TestDiskLostWhileAllRestart: all restart, one wiped and one behind; keys are lost, or they wait for ever.
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
	assert.NotZero(t, status.LastIndex, "how far the log of a waiting node is")
	assert.Contains(t, status.WaitingReason, "as its node has "+c.memberID(1))
	c.Start(0)
	c.requireRecovery(t)
}

// TestSilentVoterIsWaitedFor: a start goes on without a silent voter, and keys that it alone holds are lost.
func TestSilentVoterIsWaitedFor(t *testing.T) {
	t.Parallel()
	t.Run("OlderDiskGivenUpFirst", func(t *testing.T) {
		t.Parallel()
		c := startWithOlderAndLaggingDisks(t)
		defer c.logDisksOnFailure(t)
		c.SetLinksOneWay(2, 1, testrig.LinkMode{Cut: true}) // n2 hears of n1 after n0 has
		c.Start(1)
		c.waitForLog(t, 0, "disk identity renewed")
		c.HealLinks()
		c.requireRecovery(t)
	})
	t.Run("OthersResumeFirst", func(t *testing.T) {
		t.Parallel()
		c := startWithOlderAndLaggingDisks(t)
		defer c.logDisksOnFailure(t)
		c.SetLinksOneWay(0, 1, testrig.LinkMode{Cut: true}) // n0 hears of n1 after n2 has
		c.Start(1)
		c.waitForLog(t, 2, `"verdict":"resume"`)
		c.HealLinks()
		c.requireRecovery(t)
		c.waitForLog(t, 0, "disk identity renewed")
	})
}

// stopWithOlderAndLaggingDisks has n0 with an older folder and n2 without the keys that n1 holds alone. None of them runs.
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

// startWithOlderAndLaggingDisks starts n0 with an older folder and n2 without the keys that n1 holds alone, and requires that both
// refuse as long as n1 is away.
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

// TestWrongFolder: a start with an empty folder by mistake stops the others, or bars the way back to the true folder.
func TestWrongFolder(t *testing.T) {
	t.Parallel()
	for name, waitForVote := range map[string]bool{"BeforeTheEmptyOneJoins": false, "AfterTheEmptyOneHasJoined": true} {
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
			if waitForVote {
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
