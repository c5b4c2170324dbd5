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

// commandResult is what a run of the command line wrote, and its exit code.
type commandResult struct {
	out, errs string
	code      int
}

// runUnderStalledLease runs a command under a lease, stalls the way to all nodes once the lease is
// held, so that the command is told to stop for want of an answer, and then calls afterStop. The
// command goes on until heal, or afterStop's end, lets it exit with code 5.
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
	setAll := func(mode testrig.LinkMode) {
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
	await(t, "the command to run", exists(started)) // the grant has come, and SIGTERM is heard
	setAll(testrig.LinkMode{StallRequests: true, StallResponses: true})
	await(t, "the command to be told to stop", exists(stopRequested))
	afterStop(func() { setAll(testrig.LinkMode{}) })
	require.NoError(t, os.WriteFile(mayEnd, nil, 0o600))
	return <-ended
}

// TestRevokedWhileNodesStall guards against a revoked lease that `lease run` reports only as one that
// was not kept alive in time, when no keep-alive was answered between the revocation and the grace.
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

// TestStoppedWhileNodesStall guards against a lease that `lease run` calls lost though the store has it
// as held, and against a stop whose line does not say how the last keep-alive failed.
func TestStoppedWhileNodesStall(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	r := runUnderStalledLease(t, c, func(heal func()) { heal() })
	assert.Equal(t, 5, r.code, r.errs)
	assert.Regexp(t, `(?m)^oxbowbridge: command stopped: lease could not be kept alive in time: long \(last keep-alive: .*deadline exceeded.*\)$`, r.errs)
	assert.NotContains(t, r.errs, "lease is lost")
	code, _ := c.requestWithRetry(0, "GET", "/lease/long", "")
	assert.Equal(t, 404, code, "it was given back")
}

// TestStoppedWithoutAnswer guards against a `lease run` that claims to know what became of its lease
// when no node answers, or that waits for that answer without end.
func TestStoppedWithoutAnswer(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	r := runUnderStalledLease(t, c, func(func()) {})
	assert.Equal(t, 5, r.code, r.errs)
	assert.Regexp(t, `(?m)^oxbowbridge: command stopped: lease could not be kept alive in time: long .*; not known whether the lease is still held$`, r.errs)
	assert.NotContains(t, r.errs, "lease is lost")
}
