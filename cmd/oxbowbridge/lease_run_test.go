package main

import (
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/leaseclient"
)

// newStopperWithLostLease returns the stopper of a running command. Its stand-in store grants the lease and
// reports it as lost at the first keep-alive.
func newStopperWithLostLease(t *testing.T) *commandStopper {
	t.Helper()
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodPost:
			w.Write([]byte(`{"name":"long","holder":"h","token":7,"ttl_ms":500}`))
		case http.MethodPut:
			w.Write([]byte(`{"gone":["long"]}`))
		}
	}))
	t.Cleanup(store.Close)
	manager := leaseclient.New([]string{strings.TrimPrefix(store.URL, "http://")}, "h")
	t.Cleanup(manager.Close)
	heldLease, err := manager.Acquire(t.Context(), leaseclient.AcquireOptions{Name: "long", TTL: lease.MinTTLMS * time.Millisecond})
	require.NoError(t, err)
	command := exec.Command("sleep", "60")
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		command.Process.Kill()
		command.Wait()
	})
	return newCommandStopper(command, heldLease, nil, 0)
}

// TestLostLeaseBeforeLateDeadlineCheck guards against a wrong stop reason: the process checks the deadline late,
// after the store has reported the lease as lost. The reason must be the loss, not missing replies.
func TestLostLeaseBeforeLateDeadlineCheck(t *testing.T) {
	s := newStopperWithLostLease(t)
	<-s.lease.Context().Done()
	s.enforceDeadline(s.deadline) // the ticker fires before the end of the context is handled
	assert.ErrorIs(t, s.stopReason, leaseclient.ErrLost)
	assert.NotErrorIs(t, s.stopReason, leaseclient.ErrExpired)
}
