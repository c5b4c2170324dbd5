package tests

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/storage/durable/faultfs"
)

// TestFailingDiskIsNotHammered guards against a node that starts incarnations, logs and writes without a pause
// while its folder opens but fails the first write. Once the disk works, the node must serve its keys.
func TestFailingDiskIsNotHammered(t *testing.T) {
	t.Parallel()
	build, err := faultInjectionBuild()
	require.NoError(t, err)
	for _, fault := range []string{faultfs.DiskFull, faultfs.FailWrites} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			c := newStoppedCluster(t, 1, 1)
			c.buildPath = build
			checkPacedRestarts(t, c, fault)
		})
	}
}

func checkPacedRestarts(t *testing.T, c *cluster, fault string) {
	const wantLines, minimum = 4, 3 * time.Second // restarts after 0, 1 and 2 s
	c.Bootstrap()
	writeKeys(c, 0, "note", 5)
	lines := func() int { return strings.Count(c.nodes[0].log(), `"msg":"incarnation ended"`) }
	startedAt := time.Now()
	c.InjectFault(0, fault)
	await(t, "the incarnations to end", func() bool {
		c.Request(0, "PUT", "/store/poke", "1")
		return lines() >= wantLines
	})
	assert.GreaterOrEqual(t, time.Since(startedAt), minimum, "%d lines", lines())
	c.InjectFault(0, "")
	await(t, "all keys", func() bool { return hasWrittenKeys(t, c, 0, "note", 5) })
}
