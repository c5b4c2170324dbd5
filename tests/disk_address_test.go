package tests

import (
	"testing"

	"oxbowbridge/internal/testrig"
)

// TestWrongPeerAddress guards against lost keys when another node answers at the admin address of a stopped
// voter. The voter, which alone holds some keys, must not be taken for one that lost its disk.
func TestWrongPeerAddress(t *testing.T) {
	t.Parallel()
	c := stopWithOlderAndLaggingDisks(t)
	defer c.logDisksOnFailure(t)
	launch := c.Launch
	c.Launch = func(node int, store map[string]any) testrig.Process {
		peers := store["peers"].([]testrig.Peer)
		peers[1].Admin = c.Peers[2].Admin
		return launch(node, store)
	}
	c.Start(0)
	c.Start(2)
	c.requireNotServing(t, 0, 2)
	c.KillAll()
	c.Launch = launch
	for i := range 3 {
		c.Start(i)
	}
	c.requireRecovery(t)
}
