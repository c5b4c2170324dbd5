package tests

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/testrig"
)

// commandResult is the output and the exit code of a command.
type commandResult struct {
	out, errs string
	code      int
}

// runUnderStalledLease runs a command under a lease and stalls the links to all nodes once the lease is held,
// so that the command gets SIGTERM for lack of keep-alives. It then calls afterStop, which may call heal to end
// the stall. After that the command exits with code 5.
func runUnderStalledLease(t *testing.T, c *cluster, afterStop func(heal func())) commandResult {
	t.Helper()
	var links []*testrig.Link
	var nodes []string
	for _, p := range c.Peers {
		l, err := testrig.NewLink(p.Admin)
		require.NoError(t, err)
		t.Cleanup(l.Close)
		links = append(links, l)
		nodes = append(nodes, l.Addr)
	}
	setLinkModes := func(mode testrig.LinkMode) {
		for _, l := range links {
			l.SetMode(mode)
		}
	}
	dir := t.TempDir()
	started, stopRequested, mayEnd := filepath.Join(dir, "started"), filepath.Join(dir, "told"), filepath.Join(dir, "may-end")
	script := fmt.Sprintf("trap 'touch %s; while [ ! -e %s ]; do sleep 0.02; done; exit 5' TERM; touch %s; while :; do sleep 0.02; done", stopRequested, mayEnd, started)
	exists := func(path string) func() bool {
		return func() bool { _, err := os.Stat(path); return err == nil }
	}
	ended := make(chan commandResult, 1)
	go func() {
		out, errs, code := runCLI(t, "", "lease", "run", "long", "--ttl=4s", "--grace=1s", "--nodes="+strings.Join(nodes, ","), "--", "sh", "-c", script)
		ended <- commandResult{out, errs, code}
	}()
	await(t, "the command to run", exists(started)) // the lease is granted, and the command handles SIGTERM
	setLinkModes(testrig.LinkMode{StallRequests: true, StallResponses: true})
	await(t, "SIGTERM to the command", exists(stopRequested))
	afterStop(func() { setLinkModes(testrig.LinkMode{}) })
	require.NoError(t, os.WriteFile(mayEnd, nil, 0o600))
	return <-ended
}

// TestRevokedWhileNodesStall guards against a `lease run` that reports a revoked lease only as one without
// keep-alives, when no keep-alive was answered between the revocation and the end of the grace period.
func TestRevokedWhileNodesStall(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	r := runUnderStalledLease(t, c, func(heal func()) {
		code, text := c.requestWithRetry(0, "DELETE", "/lease/long?revoke=1", "")
		require.Equal(t, 204, code, text)
		heal()
	})
	assert.Equal(t, 5, r.code, r.errs)
	assert.Regexp(t, `(?m)^oxbowbridge: command stopped: lease could not be kept alive in time: long .*; lease is lost: long$`, r.errs)
}

// TestStoppedWhileNodesStall guards against a `lease run` that reports its lease as lost while the store still
// has it as held, and against a message that lacks the error of the last keep-alive.
func TestStoppedWhileNodesStall(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	r := runUnderStalledLease(t, c, func(heal func()) { heal() })
	assert.Equal(t, 5, r.code, r.errs)
	assert.Regexp(t, `(?m)^oxbowbridge: command stopped: lease could not be kept alive in time: long \(last keep-alive: .*deadline exceeded.*\)$`, r.errs)
	assert.NotContains(t, r.errs, "lease is lost")
	code, _ := c.requestWithRetry(0, "GET", "/lease/long", "")
	assert.Equal(t, 404, code, "the lease was released")
}

// TestStoppedWithoutAnswer guards against a `lease run` that claims to know the state of its lease when no node
// answers, or that waits for an answer without a limit.
func TestStoppedWithoutAnswer(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	r := runUnderStalledLease(t, c, func(func()) {})
	assert.Equal(t, 5, r.code, r.errs)
	assert.Regexp(t, `(?m)^oxbowbridge: command stopped: lease could not be kept alive in time: long .*; not known whether the lease is still held$`, r.errs)
	assert.NotContains(t, r.errs, "lease is lost")
}
