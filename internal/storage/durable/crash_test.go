package durable

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/storage/durable/faultfs"
	"oxbowbridge/internal/testrig/rapidseed"
)

var longRun = flag.Bool("full", false, "run the crash and damage tests with more seeds and patterns")

// TestMain sets a fixed seed for rapid, unless the flag -full is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if !*longRun {
		rapidseed.SetDefault()
	}
	os.Exit(m.Run())
}

// TestCrashAtEveryStep injects a crash or an I/O error at each I/O step of the workload,
// and a crash at each step of the recovery after it. All, none or a random part of the
// unsynced data survives. After recovery all acknowledged batches must exist, and no
// batch may exist in part.
func TestCrashAtEveryStep(t *testing.T) {
	faultless := &faultfs.FS{}
	b, err := newWorkload(faultless, smallOptions())
	require.NoError(t, err)
	require.NoError(t, b.runAllOperations())
	require.NoError(t, b.store.Close())
	steps := faultless.Steps()
	require.Greater(t, steps, 300)
	seeds := uint64(4)
	if *longRun {
		seeds = 40
	}
	runParallel(t, steps, func(stepIndex int) {
		for _, fault := range []faultfs.Fault{faultfs.Crash, faultfs.IOError, faultfs.ShortWrite} {
			f := &faultfs.FS{FaultAt: func(step int, _, _ string) faultfs.Fault {
				if step == stepIndex+1 {
					return fault
				}
				return faultfs.NoFault
			}}
			b, err := newWorkload(f, smallOptions())
			if err == nil {
				if err = b.runAllOperations(); err == nil {
					err = b.store.Close()
				} else {
					b.store.Close()
				}
			}
			if fault == faultfs.Crash && err == nil {
				t.Errorf("step %d: a crash caused no error", stepIndex+1)
			}
			for seed := range seeds {
				survivalProbability := []float64{0.5, 0, 1, 0.9}[seed%4]
				crashedFS := f.AfterCrash(rand.New(rand.NewPCG(uint64(stepIndex), seed)), survivalProbability)
				if seed%4 == 0 && fault == faultfs.Crash {
					crashDuringRecovery(t, b, crashedFS, seed)
				}
				checkRecoveredState(t, b, crashedFS, fmt.Sprintf("%v at step %d, seed %d", fault, stepIndex+1, seed))
			}
		}
	})
}

// crashDuringRecovery injects a crash at each I/O step of the recovery in turn.
func crashDuringRecovery(t *testing.T, b *workload, crashedFS *faultfs.FS, seed uint64) {
	image := crashedFS.Image()
	for crashStep := 1; ; crashStep++ {
		recoveryFS := faultfs.FromImage(image)
		recoveryFS.FaultAt = func(step int, _, _ string) faultfs.Fault {
			if step == crashStep {
				return faultfs.Crash
			}
			return faultfs.NoFault
		}
		s, _, err := Open(recoveryFS, smallOptions())
		if err == nil {
			recoveryFS.FaultAt = nil
			s.Close()
			return
		}
		if errors.Is(err, ErrDamaged) {
			t.Errorf("recovery, step %d: %v", crashStep, err)
			return
		}
		checkRecoveredState(t, b, recoveryFS.AfterCrash(rand.New(rand.NewPCG(uint64(crashStep), seed)), 0.5), fmt.Sprintf("recovery, step %d", crashStep))
	}
}

// checkRecoveredState checks that a folder opens without damage, in a state of the
// workload that is not older than the last acknowledged one.
func checkRecoveredState(t *testing.T, b *workload, f *faultfs.FS, description string) {
	s, r, err := Open(f, smallOptions())
	if err != nil {
		t.Errorf("%s: %v", description, err)
		return
	}
	got, damaged := readState(t, s)
	if damaged > 0 {
		t.Errorf("%s: %d values are damaged", description, damaged)
	}
	if r.Loss == AcknowledgedLoss || !slices.Contains(b.states[b.acknowledged:], got) {
		t.Errorf("%s: got no state from %d onward: %s\n%+v", description, b.acknowledged, got, r)
	}
	if err := s.Put([]byte("after"), []byte(repeatedNumber(1, 30))); err != nil {
		t.Errorf("%s: %v", description, err)
	}
	want, _ := readState(t, s)
	s.maintenance.stop()
	s, _, err = Open(f.AfterCrash(rand.New(rand.NewPCG(1, 1)), 0), smallOptions())
	if err != nil {
		t.Errorf("%s, after a write and another crash: %v", description, err)
		return
	}
	if got, _ := readState(t, s); got != want {
		t.Errorf("%s, after a write and another crash: %s, want %s", description, got, want)
	}
	s.Close()
}

// runParallel runs n cases on all cores, and stops at the first failure.
func runParallel(t *testing.T, n int, runCase func(i int)) {
	var wg sync.WaitGroup
	var next atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := int(next.Add(1)) - 1; i < n && !t.Failed(); i = int(next.Add(1)) - 1 {
				runCase(i)
			}
		}()
	}
	wg.Wait()
}

// TestKilledThenCrashed: a process is killed after an unsynced batch. The next process
// makes the batch visible to readers, so a crash of the machine after that must not
// lose it.
func TestKilledThenCrashed(t *testing.T) {
	f := &faultfs.FS{}
	b, err := newWorkload(f, smallOptions())
	require.NoError(t, err)
	require.NoError(t, b.apply(Buffered, change{puts: map[string]string{"a": "1"}}))
	b.store.lock.Close() // the kernel releases the lock of a killed process
	s, _, err := Open(f, smallOptions())
	require.NoError(t, err)
	v, err := s.Get([]byte("a"), 0)
	require.NoError(t, err)
	require.Equal(t, "1", string(v))
	s, _, err = Open(f.AfterCrash(rand.New(rand.NewPCG(1, 1)), 0), smallOptions())
	require.NoError(t, err)
	_, err = s.Get([]byte("a"), 0)
	require.NoError(t, err)
}
