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

// TestGoldenStored: the keys and values under which orders, pauses and heartbeats are
// stored, the leases' names, and texts of errors.
func TestGoldenStored(t *testing.T) {
	var lines strings.Builder
	fmt.Fprintln(&lines, ControllerLease, MachineLeasePrefix, BudgetKey, orderPrefix, pauseKey, heartbeatPrefix)
	var j maintenance.Order
	var b maintenance.Heartbeat
	var p maintenance.Pause
	golden.Fill(&j)
	golden.Fill(&b)
	golden.Fill(&p)
	for _, op := range []kv.Op{putOrder(j), putJSON(heartbeatPrefix+b.Name, b), putJSON(pauseKey, p)} {
		fmt.Fprintln(&lines, op.Kind, op.Key, string(op.Value))
	}
	for _, err := range []error{maintenance.ErrWrongPhase, ErrOrderNotFound, ErrConflict} {
		fmt.Fprintln(&lines, err)
	}
	for _, phase := range []maintenance.Phase{maintenance.PhaseDraining, maintenance.PhaseOut, maintenance.PhaseReturned} {
		fmt.Fprintln(&lines, fencesFor("m1", maintenance.PhaseReport{Phase: phase, GrantToken: 7}))
	}
	fence := []lease.FencingToken{{Name: "work/order", Token: 7}}
	fmt.Fprintln(&lines, MayWrite(fence, "_cluster/work/job/m1"), MayWrite(fence, "_cluster/id"), MayWrite(nil, "_cluster/work/job/m1"))
	golden.Text(t, "testdata/stored.golden", lines.String())
}
