package controller

import (
	"fmt"
	"strings"
	"testing"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/maintenance"
	"oxbowbridge/internal/testrig/golden"
)

// TestGoldenStored checks the keys and the encoded values of stored orders, pauses and heartbeats, the lease names, the
// error texts, and which reserved keys may be written under the controller's lease.
func TestGoldenStored(t *testing.T) {
	var lines strings.Builder
	fmt.Fprintln(&lines, ControllerLease, MachineLeasePrefix, BudgetKey, orderPrefix, pauseKey, heartbeatPrefix)
	var order maintenance.Order
	var heartbeat maintenance.Heartbeat
	var pause maintenance.Pause
	golden.Fill(&order)
	golden.Fill(&heartbeat)
	golden.Fill(&pause)
	for _, op := range []kv.Op{putOrder(order), putJSON(heartbeatPrefix+heartbeat.Name, heartbeat), putJSON(pauseKey, pause)} {
		fmt.Fprintln(&lines, op.Kind, op.Key, string(op.Value))
	}
	for _, err := range []error{maintenance.ErrWrongPhase, ErrOrderNotFound, ErrConflict} {
		fmt.Fprintln(&lines, err)
	}
	for _, phase := range []maintenance.Phase{maintenance.PhaseDraining, maintenance.PhaseOut, maintenance.PhaseReturned} {
		fmt.Fprintln(&lines, fencesFor("m1", maintenance.PhaseReport{Phase: phase, GrantToken: 7}))
	}
	fences := []lease.FencingToken{{Name: "work/order", Token: 7}}
	fmt.Fprintln(&lines, MayWrite(fences, "_cluster/work/job/m1"), MayWrite(fences, "_cluster/id"), MayWrite(nil, "_cluster/work/job/m1"))
	golden.Text(t, "testdata/stored.golden", lines.String())
}
