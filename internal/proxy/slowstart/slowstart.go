// Package slowstart decides how many runs one process may have at a server that has just
// started, so that the sum over all processes stays within what such a server survives. It
// does no I/O and reads no clock. The processes don't talk to each other: each knows the
// settings, how many processes there are, and when it learned of the start.
package slowstart

import (
	"math"
	"math/rand/v2"
	"time"
)

// Limits are what the settings say of a server and of those that send to it.
type Config struct {
	Cores            int
	WarmRunsPerCore  float64       // runs a core on the cores that a warm server survives (fall_multiple)
	MinSpeedFraction float64       // of its speed that a server has at its start, at least (cold_share)
	WarmUp           time.Duration // after which it is warm, at the latest (cold_ns)
	AveragingWindow  time.Duration // over which runs on the cores are averaged (fall_ns)
	Processes        int           // that send to it
}

// Allowed is how many runs a server survives on its cores, of all processes together and in
// the mean of the window, so long after its start.
func (l Config) TotalQuota(age time.Duration) float64 {
	speed := 1.0
	if l.WarmUp > 0 && age < l.WarmUp {
		speed = l.MinSpeedFraction + (1-l.MinSpeedFraction)*float64(max(age, 0))/float64(l.WarmUp)
	}
	return float64(l.Cores) * (1 + (l.WarmRunsPerCore-1)*speed)
}

// Warm tells whether a server is warm so long after its start.
func (l Config) IsWarm(age time.Duration) bool { return age >= l.WarmUp }

// Ramp is the part of one process in the start of one server.
type SlowStart struct {
	limits  Config
	rng     *rand.Rand
	started time.Duration // when the process learned of the start
	turn    int           // of the draw below, 0 before the first
	phase   time.Duration // by which this process's windows are shifted against others'
	draw    float64
}

// New returns the ramp of a server whose start the process has just learned of. Processes
// have different seeds.
func New(l Config, seed uint64, now time.Duration) *SlowStart {
	rng := rand.New(rand.NewPCG(seed, uint64(now)))
	r := &SlowStart{limits: l, rng: rng, started: now}
	if l.AveragingWindow > 0 {
		r.phase = time.Duration(rng.Int64N(int64(l.AveragingWindow)))
	}
	return r
}

// Warm tells whether the server needs no ramp any more.
func (r *SlowStart) Warm(now time.Duration) bool { return r.limits.IsWarm(now - r.started) }

// Slots is how many runs this process may have at the server now. Where its share is no
// whole number, the rest is drawn anew in each window: as the processes draw independently,
// their sum differs from what is allowed by chance alone, some roots of it.
func (r *SlowStart) Quota(now time.Duration) int {
	age := now - r.started
	if r.limits.IsWarm(age) {
		return math.MaxInt
	}
	if turn := r.windowOf(age); turn != r.turn {
		r.turn, r.draw = turn, r.rng.Float64()
	}
	share := r.limits.TotalQuota(age) / float64(max(1, r.limits.Processes))
	whole := math.Floor(share)
	if r.draw < share-whole {
		whole++
	}
	return int(whole)
}

// windowOf numbers the windows of this process, from 1.
func (r *SlowStart) windowOf(age time.Duration) int {
	if r.limits.AveragingWindow <= 0 {
		return 1
	}
	return int((age+r.phase)/r.limits.AveragingWindow) + 1
}
