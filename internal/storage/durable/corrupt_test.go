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

// folders are a day's folder as it stands in service, with a compaction half done,
// and after it was closed.
func folders(t *testing.T) (b *bed, images map[string]map[string][]byte) {
	f, o := &faultfs.FS{}, small()
	o.ReserveBytes = 1
	b, err := newBed(f, o)
	require.NoError(t, err)
	require.NoError(t, b.day())
	for i := 0; b.s.upkeep.comp == nil || b.s.upkeep.comp.at <= headerLen; i++ {
		require.Less(t, i, 500, "a compaction must be half done")
		if i%3 == 0 {
			require.NoError(t, b.apply(Synced, change{put: map[string]string{fmt.Sprintf("k%02d", i%9): val(i, 25)}}))
		}
		require.NoError(t, b.upkeep(1))
	}
	require.NoError(t, b.s.roll())
	for i := range 4 {
		require.NoError(t, b.apply(Synced, change{put: map[string]string{"tail": fmt.Sprint("t", i)}}))
	}
	images = map[string]map[string][]byte{"in service": f.Image()}
	require.NoError(t, b.s.Close())
	images["closed"] = f.Image()
	for when, image := range images {
		ckps, logs := 0, 0
		for name := range image {
			if strings.HasSuffix(name, ckpSuffix) {
				ckps++
			}
			if strings.HasSuffix(name, logSuffix) {
				logs++
			}
		}
		require.GreaterOrEqual(t, ckps, 2, when)
		require.GreaterOrEqual(t, logs, 4, when)
	}
	return b, images
}

// outcome opens a folder; what it gives is a state that existed, or a typed error.
// It may be older by as many batches as late says: what a cut takes with the whole
// end of the log can't be told from what never was there, if the folder was not closed.
func outcome(t *testing.T, b *bed, image map[string][]byte, what string, late int, repair bool) (opened bool) {
	f := faultfs.FromImage(image)
	before := f.Steps()
	s, r, err := Open(f, small())
	if err == nil {
		got, damaged := state(t, s)
		if i := slices.Index(b.states, got); i < 0 && damaged == 0 || damaged > 0 && !partOf(b, got) {
			t.Errorf("%s: no such state: %s\n%+v", what, got, r)
		} else if damaged == 0 && !slices.Contains(b.states[max(0, len(b.states)-1-late):], got) {
			t.Errorf("%s: the state is older than it may be\n%+v", what, r)
		}
		if err := s.Close(); err != nil {
			t.Errorf("%s: %v", what, err)
		}
		return true
	}
	var d *DamagedError
	if !errors.As(err, &d) || len(d.Report.Faults) == 0 {
		t.Errorf("%s: not a typed error: %v", what, err)
		return false
	}
	if f.Steps() != before {
		t.Errorf("%s: a damaged folder was changed", what)
	}
	if !repair {
		return false
	}
	if _, err := Repair(f, small()); err != nil {
		if !errors.Is(err, ErrUnrecoverable) {
			t.Errorf("%s: repair: %v", what, err)
		}
		return false
	}
	s, _, err = Open(f, small())
	if err != nil {
		t.Errorf("%s: after repair: %v", what, err)
		return false
	}
	if got, _ := state(t, s); !partOf(b, got) {
		t.Errorf("%s: after repair, no such state: %s", what, got)
	}
	if err := s.Put([]byte("after"), []byte(val(3, 30))); err != nil {
		t.Errorf("%s: after repair: %v", what, err)
	}
	s.Close()
	return false
}

// partOf tells whether a state that existed has all these keys, with these values.
func partOf(b *bed, got string) bool {
	pairs := strings.Split(strings.TrimSuffix(got, ";"), ";")
	return got == "" || slices.ContainsFunc(b.states, func(s string) bool {
		s = ";" + s
		return !slices.ContainsFunc(pairs, func(p string) bool { return !strings.Contains(s, ";"+p+";") })
	})
}

// TestEveryByte cuts every file at every byte, and spoils every byte.
func TestEveryByte(t *testing.T) {
	b, images := folders(t)
	patterns, repairs := []byte{0x01, 0x80, 0xff}, 23
	if *full {
		patterns, repairs = []byte{0x01, 0x02, 0x04, 0x08, 0x10, 0x20, 0x40, 0x80, 0xff, 0x55}, 1
	}
	for when, image := range images {
		var opened, refused atomic.Int64
		for _, name := range slices.Sorted(maps.Keys(image)) {
			whole := image[name]
			count := func(i int, changed []byte, what string) {
				late := 0
				if when == "in service" {
					late = 1
				}
				if when == "in service" && len(changed) < len(whole) {
					late = len(b.states)
				}
				c := maps.Clone(image)
				c[name] = changed
				if outcome(t, b, c, fmt.Sprintf("%s, %s %s byte %d", when, name, what, i), late, i%repairs == 0) {
					opened.Add(1)
				} else {
					refused.Add(1)
				}
			}
			parallel(t, len(whole), func(i int) {
				count(i, slices.Clone(whole[:i]), "cut at")
				for _, p := range patterns {
					c := slices.Clone(whole)
					c[i] ^= p
					count(i, c, fmt.Sprintf("xor %#x at", p))
				}
			})
			c := maps.Clone(image)
			delete(c, name)
			outcome(t, b, c, when+", without "+name, 0, true)
		}
		t.Logf("%s: %d folders opened, %d refused", when, opened.Load(), refused.Load())
		require.Positive(t, opened.Load())
		require.Positive(t, refused.Load())
	}
}

// TestSwappedFiles: whole files of another time or another store are found out.
func TestSwappedFiles(t *testing.T) {
	b, images := folders(t)
	image := images["closed"]
	names := slices.Sorted(maps.Keys(image))
	for _, from := range names {
		for _, to := range names {
			c := maps.Clone(image)
			c[to] = image[from]
			outcome(t, b, c, from+" in place of "+to, 0, true)
		}
	}
	o := small()
	o.StoreID = 0xd1ff
	f := &faultfs.FS{}
	other, err := newBed(f, o)
	require.NoError(t, err)
	require.NoError(t, other.day())
	require.NoError(t, other.s.Close())
	for name, data := range f.Image() {
		c := maps.Clone(image)
		if c[name] == nil {
			continue
		}
		c[name] = data
		s, _, err := Open(faultfs.FromImage(c), small())
		if name == LockName || name == reserveName {
			require.NoError(t, err)
			s.Close()
		} else if err == nil {
			got, damaged := state(t, s)
			if damaged == 0 && got != b.states[len(b.states)-1] {
				t.Errorf("%s of another store: %s", name, got)
			}
			s.Close()
		}
	}
}

// TestReusedBlock: where a batch was torn, the disk gives back what stood there in an
// earlier life of the same segment: batches that are whole, with the right numbers.
func TestReusedBlock(t *testing.T) {
	life := func(f *faultfs.FS, word string) {
		s, _, err := Open(f, small())
		require.NoError(t, err)
		for i := range 4 {
			require.NoError(t, s.Put(fmt.Append(nil, i), []byte(word)))
		}
		require.NoError(t, s.Sync())
		s.upkeep.stop()
	}
	f, old := &faultfs.FS{}, &faultfs.FS{}
	life(f, "new")
	life(old, "old")
	name := logName(1)
	image, before := f.Image(), old.Image()[name]
	size := (len(image[name]) - headerLen) / 4
	image[name] = append(image[name][:headerLen+2*size:headerLen+2*size], before[headerLen+2*size:]...)
	s, _, err := Open(faultfs.FromImage(image), small())
	if err != nil {
		require.ErrorIs(t, err, ErrDamaged)
		return
	}
	got, _ := state(t, s)
	require.Equal(t, "0=new;1=new;", got)
}

// TestCrashInRepair stops the machine at every step of repairs of all kinds of
// damage. Afterwards the folder is as damaged as before, or repaired.
func TestCrashInRepair(t *testing.T) {
	b, images := folders(t)
	image := images["closed"]
	names := slices.Sorted(maps.Keys(image))
	logs, ckps, damages := []string{}, []string{}, 0
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, logSuffix):
			logs = append(logs, name)
		case strings.HasSuffix(name, ckpSuffix):
			ckps = append(ckps, name)
		}
	}
	damage := []func(map[string][]byte){
		func(c map[string][]byte) { delete(c, manifestName) },
		func(c map[string][]byte) { c[manifestName][30] ^= 1 },
		func(c map[string][]byte) { c[ckps[len(ckps)-1]][100] ^= 1; c[logs[len(logs)-1]][70] ^= 1 },
		func(c map[string][]byte) { delete(c, logs[len(logs)-1]) },
	}
	for _, name := range logs {
		damage = append(damage, func(c map[string][]byte) { c[name] = c[name][:len(c[name])/2] }, func(c map[string][]byte) { delete(c, name) })
	}
	for d, spoil := range damage {
		c := map[string][]byte{}
		for name, data := range image {
			c[name] = slices.Clone(data)
		}
		spoil(c)
		sound := faultfs.FromImage(c)
		if _, err := Repair(sound, small()); errors.Is(err, ErrUnrecoverable) || sound.Steps() == 0 {
			continue
		}
		damages++
		for k := 1; k <= sound.Steps(); k++ {
			for seed := range uint64(4) {
				f := faultfs.FromImage(c)
				f.FaultAt = func(step int, _, _ string) faultfs.Fault {
					if step == k {
						return faultfs.Crash
					}
					return faultfs.NoFault
				}
				_, err := Repair(f, small())
				require.Error(t, err)
				f = f.AfterCrash(rand.New(rand.NewPCG(uint64(k), seed)), []float64{0, 0.5, 1, 0.8}[seed])
				s, _, err := Open(f, small())
				if errors.Is(err, ErrDamaged) {
					_, err = Repair(f, small())
					require.NoError(t, err, "damage %d, step %d, seed %d", d, k, seed)
					s, _, err = Open(f, small())
				}
				require.NoError(t, err, "damage %d, step %d, seed %d", d, k, seed)
				got, _ := state(t, s)
				require.True(t, partOf(b, got), "damage %d, step %d, seed %d: %s", d, k, seed, got)
				require.NoError(t, s.Put([]byte("after"), []byte(val(3, 30))))
				require.NoError(t, s.Close())
			}
		}
	}
	require.Greater(t, damages, 4)
}
