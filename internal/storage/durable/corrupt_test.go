package durable

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/storage/durable/faultfs"
)

// newWorkloadImages runs a workload and returns images of its folder: "in service", with a
// compaction in progress, and "closed".
func newWorkloadImages(t *testing.T) (b *workload, images map[string]map[string][]byte) {
	f, o := &faultfs.FS{}, smallOptions()
	o.ReserveBytes = 1
	b, err := newWorkload(f, o)
	require.NoError(t, err)
	require.NoError(t, b.runAllOperations())
	for i := 0; b.store.maintenance.compaction == nil || b.store.maintenance.compaction.nextOffset <= headerLen; i++ {
		require.Less(t, i, 500, "a compaction must be in progress")
		if i%3 == 0 {
			require.NoError(t, b.apply(Synced, change{puts: map[string]string{fmt.Sprintf("k%02d", i%9): repeatedNumber(i, 25)}}))
		}
		require.NoError(t, b.runMaintenance(1))
	}
	require.NoError(t, b.store.rotateSegment())
	for i := range 4 {
		require.NoError(t, b.apply(Synced, change{puts: map[string]string{"tail": fmt.Sprint("t", i)}}))
	}
	images = map[string]map[string][]byte{"in service": f.Image()}
	require.NoError(t, b.store.Close())
	images["closed"] = f.Image()
	for when, image := range images {
		checkpoints, segments := 0, 0
		for name := range image {
			if strings.HasSuffix(name, checkpointSuffix) {
				checkpoints++
			}
			if strings.HasSuffix(name, segmentSuffix) {
				segments++
			}
		}
		require.GreaterOrEqual(t, checkpoints, 2, when)
		require.GreaterOrEqual(t, segments, 4, when)
	}
	return b, images
}

// checkOpenOfDamagedFolder checks that a damaged folder opens with a state that existed,
// or fails with a DamagedError and is not changed. The state may lack the last
// maxLostBatches batches: if the folder was not closed, recovery can't detect that the
// end of the log is missing.
func checkOpenOfDamagedFolder(t *testing.T, b *workload, image map[string][]byte, what string, maxLostBatches int, repair bool) (opened bool) {
	f := faultfs.FromImage(image)
	before := f.Steps()
	s, r, err := Open(f, smallOptions())
	if err == nil {
		got, damaged := readState(t, s)
		if i := slices.Index(b.states, got); i < 0 && damaged == 0 || damaged > 0 && !isSubsetOfAnyState(b, got) {
			t.Errorf("%s: state never existed: %s\n%+v", what, got, r)
		} else if damaged == 0 && !slices.Contains(b.states[max(0, len(b.states)-1-maxLostBatches):], got) {
			t.Errorf("%s: state is older than allowed\n%+v", what, r)
		}
		if err := s.Close(); err != nil {
			t.Errorf("%s: %v", what, err)
		}
		return true
	}
	var d *DamagedError
	if !errors.As(err, &d) || len(d.Report.Faults) == 0 {
		t.Errorf("%s: want a DamagedError with faults, got: %v", what, err)
		return false
	}
	if f.Steps() != before {
		t.Errorf("%s: a damaged folder was changed", what)
	}
	if !repair {
		return false
	}
	if _, err := Repair(f, smallOptions()); err != nil {
		if !errors.Is(err, ErrUnrecoverable) {
			t.Errorf("%s: repair: %v", what, err)
		}
		return false
	}
	s, _, err = Open(f, smallOptions())
	if err != nil {
		t.Errorf("%s: after repair: %v", what, err)
		return false
	}
	if got, _ := readState(t, s); !isSubsetOfAnyState(b, got) {
		t.Errorf("%s: after repair, state never existed: %s", what, got)
	}
	if err := s.Put([]byte("after"), []byte(repeatedNumber(3, 30))); err != nil {
		t.Errorf("%s: after repair: %v", what, err)
	}
	s.Close()
	return false
}

// isSubsetOfAnyState reports whether a state of the workload has all these keys with the
// same values.
func isSubsetOfAnyState(b *workload, got string) bool {
	pairs := strings.Split(strings.TrimSuffix(got, ";"), ";")
	return got == "" || slices.ContainsFunc(b.states, func(s string) bool {
		s = ";" + s
		return !slices.ContainsFunc(pairs, func(p string) bool { return !strings.Contains(s, ";"+p+";") })
	})
}

// TestEveryByteDamaged truncates every file at every byte, changes every byte, and
// removes every file. No damage may give a state that never existed.
func TestEveryByteDamaged(t *testing.T) {
	b, images := newWorkloadImages(t)
	patterns, repairInterval := []byte{0x01, 0x80, 0xff}, 23
	if *longRun {
		patterns, repairInterval = []byte{0x01, 0x02, 0x04, 0x08, 0x10, 0x20, 0x40, 0x80, 0xff, 0x55}, 1
	}
	for when, image := range images {
		var opened, rejected atomic.Int64
		for _, name := range slices.Sorted(maps.Keys(image)) {
			content := image[name]
			checkChanged := func(i int, changed []byte, what string) {
				maxLostBatches := 0
				if when == "in service" {
					maxLostBatches = 1
				}
				if when == "in service" && len(changed) < len(content) {
					maxLostBatches = len(b.states)
				}
				c := maps.Clone(image)
				c[name] = changed
				if checkOpenOfDamagedFolder(t, b, c, fmt.Sprintf("%s, %s %s byte %d", when, name, what, i), maxLostBatches, i%repairInterval == 0) {
					opened.Add(1)
				} else {
					rejected.Add(1)
				}
			}
			runParallel(t, len(content), func(i int) {
				checkChanged(i, slices.Clone(content[:i]), "cut at")
				for _, p := range patterns {
					c := slices.Clone(content)
					c[i] ^= p
					checkChanged(i, c, fmt.Sprintf("xor %#x at", p))
				}
			})
			c := maps.Clone(image)
			delete(c, name)
			checkOpenOfDamagedFolder(t, b, c, when+", without "+name, 0, true)
		}
		t.Logf("%s: %d folders opened, %d rejected", when, opened.Load(), rejected.Load())
		require.Positive(t, opened.Load())
		require.Positive(t, rejected.Load())
	}
}

// TestSwappedFiles: a file that was replaced by another file of the same store, or by
// the file of that name of another store, is detected or has no effect on the state.
func TestSwappedFiles(t *testing.T) {
	b, images := newWorkloadImages(t)
	image := images["closed"]
	names := slices.Sorted(maps.Keys(image))
	for _, from := range names {
		for _, to := range names {
			c := maps.Clone(image)
			c[to] = image[from]
			checkOpenOfDamagedFolder(t, b, c, from+" in place of "+to, 0, true)
		}
	}
	o := smallOptions()
	o.StoreID = 0xd1ff
	f := &faultfs.FS{}
	other, err := newWorkload(f, o)
	require.NoError(t, err)
	require.NoError(t, other.runAllOperations())
	require.NoError(t, other.store.Close())
	for name, data := range f.Image() {
		c := maps.Clone(image)
		if c[name] == nil {
			continue
		}
		c[name] = data
		s, _, err := Open(faultfs.FromImage(c), smallOptions())
		if name == LockName || name == reserveName {
			require.NoError(t, err)
			s.Close()
		} else if err == nil {
			got, damaged := readState(t, s)
			if damaged == 0 && got != b.states[len(b.states)-1] {
				t.Errorf("%s of another store: %s", name, got)
			}
			s.Close()
		}
	}
}

// TestReusedBlock: the disk blocks of a torn tail still hold complete batches with the
// expected sequence numbers, written by an earlier use of the same segment number.
// Recovery must not replay them.
func TestReusedBlock(t *testing.T) {
	writeBatches := func(f *faultfs.FS, value string) {
		s, _, err := Open(f, smallOptions())
		require.NoError(t, err)
		for i := range 4 {
			require.NoError(t, s.Put(fmt.Append(nil, i), []byte(value)))
		}
		require.NoError(t, s.Sync())
		s.maintenance.stop()
	}
	f, oldFS := &faultfs.FS{}, &faultfs.FS{}
	writeBatches(f, "new")
	writeBatches(oldFS, "old")
	name := segmentName(1)
	image, oldContent := f.Image(), oldFS.Image()[name]
	batchLen := (len(image[name]) - headerLen) / 4
	image[name] = append(image[name][:headerLen+2*batchLen:headerLen+2*batchLen], oldContent[headerLen+2*batchLen:]...)
	s, _, err := Open(faultfs.FromImage(image), smallOptions())
	if err != nil {
		require.ErrorIs(t, err, ErrDamaged)
		return
	}
	got, _ := readState(t, s)
	require.Equal(t, "0=new;1=new;", got)
}

// TestCrashInRepair injects a crash at every I/O step of the repair of several kinds of
// damage. After the crash the folder is repaired, or can still be repaired.
func TestCrashInRepair(t *testing.T) {
	b, images := newWorkloadImages(t)
	image := images["closed"]
	names := slices.Sorted(maps.Keys(image))
	segments, checkpoints, repairedDamages := []string{}, []string{}, 0
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, segmentSuffix):
			segments = append(segments, name)
		case strings.HasSuffix(name, checkpointSuffix):
			checkpoints = append(checkpoints, name)
		}
	}
	damage := []func(map[string][]byte){
		func(c map[string][]byte) { delete(c, manifestName) },
		func(c map[string][]byte) { c[manifestName][30] ^= 1 },
		func(c map[string][]byte) {
			c[checkpoints[len(checkpoints)-1]][100] ^= 1
			c[segments[len(segments)-1]][70] ^= 1
		},
		func(c map[string][]byte) { delete(c, segments[len(segments)-1]) },
	}
	for _, name := range segments {
		damage = append(damage, func(c map[string][]byte) { c[name] = c[name][:len(c[name])/2] }, func(c map[string][]byte) { delete(c, name) })
	}
	for damageIndex, corrupt := range damage {
		c := map[string][]byte{}
		for name, data := range image {
			c[name] = slices.Clone(data)
		}
		corrupt(c)
		faultless := faultfs.FromImage(c)
		if _, err := Repair(faultless, smallOptions()); errors.Is(err, ErrUnrecoverable) || faultless.Steps() == 0 {
			continue
		}
		repairedDamages++
		for crashStep := 1; crashStep <= faultless.Steps(); crashStep++ {
			for seed := range uint64(4) {
				f := faultfs.FromImage(c)
				f.FaultAt = func(step int, _, _ string) faultfs.Fault {
					if step == crashStep {
						return faultfs.Crash
					}
					return faultfs.NoFault
				}
				_, err := Repair(f, smallOptions())
				require.Error(t, err)
				f = f.AfterCrash(rand.New(rand.NewPCG(uint64(crashStep), seed)), []float64{0, 0.5, 1, 0.8}[seed])
				s, _, err := Open(f, smallOptions())
				if errors.Is(err, ErrDamaged) {
					_, err = Repair(f, smallOptions())
					require.NoError(t, err, "damage %d, step %d, seed %d", damageIndex, crashStep, seed)
					s, _, err = Open(f, smallOptions())
				}
				require.NoError(t, err, "damage %d, step %d, seed %d", damageIndex, crashStep, seed)
				got, _ := readState(t, s)
				require.True(t, isSubsetOfAnyState(b, got), "damage %d, step %d, seed %d: %s", damageIndex, crashStep, seed, got)
				require.NoError(t, s.Put([]byte("after"), []byte(repeatedNumber(3, 30))))
				require.NoError(t, s.Close())
			}
		}
	}
	require.Greater(t, repairedDamages, 4)
}
