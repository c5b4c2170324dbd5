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
	fmt.Fprintln(&lines, LeaseOrder, LeaseNode, KeyLimits, keyJob, keyPause, keyMachine)
	var j maintenance.Job
	var b maintenance.Beat
	var p maintenance.Pause
	golden.Fill(&j)
	golden.Fill(&b)
	golden.Fill(&p)
	for _, op := range []kv.Op{putJob(j), put(keyMachine+b.Name, b), put(keyPause, p)} {
		fmt.Fprintln(&lines, op.Do, op.Key, string(op.Value))
	}
	for _, err := range []error{ErrBusy, ErrNone, ErrRaced} {
		fmt.Fprintln(&lines, err)
	}
	for _, phase := range []maintenance.Phase{maintenance.Draining, maintenance.Out, maintenance.Back} {
		fmt.Fprintln(&lines, fenceOf("m1", maintenance.Report{Phase: phase, Grant: 7}))
	}
	fence := []lease.Held{{Name: "work/order", Token: 7}}
	fmt.Fprintln(&lines, Owns(fence, "_cluster/work/job/m1"), Owns(fence, "_cluster/id"), Owns(nil, "_cluster/work/job/m1"))
	golden.Text(t, "testdata/stored.golden", lines.String())
}
