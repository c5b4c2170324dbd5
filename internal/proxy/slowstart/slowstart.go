// Package slowstart limits the runs that one process has in flight at a server that has just
// started, so that all processes together do not overload the server while it warms up.
//
// Package admission applies the formula of [Config.MaxRuns] to its own server
// (admission/slowstart.go), where it uses only part of the allowed runs. Admission imports no other
// package of the module, so the formula is implemented in both packages. This package divides the
// allowed runs among the processes and keeps no reserve.
//
// The processes do not communicate. Each knows the settings, the number of processes, and when it
// learned of the server's start. The package does no I/O and has no clock.
package slowstart

import (
	"math"
	"math/rand/v2"
	"time"
)

// Config describes a server and the processes that send runs to it. All fields come from the
// service's settings (setting names in parentheses) and have no defaults.
type Config struct {
	// Cores is the server's number of cores, at least 1 (family_info.cores).
	Cores int
	// MaxRunsPerCore is the number of runs per core that a warm server can sustain without failing,
	// averaged over AveragingWindow (safety.fall_multiple).
	MaxRunsPerCore float64
	// MinSpeed is the speed of a server at its start, as a fraction of its speed
	// when warm: 0 to 1 (safety.cold_share).
	MinSpeed float64
	// Duration is the time from a server's start until it is warm; 0 if it starts warm (safety.cold_ns).
	Duration time.Duration
	// AveragingWindow is the time over which runs are averaged; 0 for no averaging (safety.fall_ns).
	AveragingWindow time.Duration
	// Processes is the number of processes that send runs to the server, including this one (servers).
	Processes int
}

// MaxRuns returns how many runs, from all processes together and averaged over AveragingWindow, a
// server of the given age can sustain without failing: one per core, plus additional runs in
// proportion to its present speed. The speed is assumed to grow linearly during the warm-up.
func (c Config) MaxRuns(age time.Duration) float64 {
	return float64(c.Cores) * (1 + (c.MaxRunsPerCore-1)*c.speed(age))
}

// speed returns the speed of a server of the given age, as a fraction of its speed when warm.
func (c Config) speed(age time.Duration) float64 {
	if c.Duration <= 0 || age >= c.Duration {
		return 1
	}
	return c.MinSpeed + (1-c.MinSpeed)*float64(max(age, 0))/float64(c.Duration)
}

// IsWarm reports whether a server of the given age is warm.
func (c Config) IsWarm(age time.Duration) bool { return age >= c.Duration }

// SlowStart computes the quota of this process during the slow start of one server. It must be used
// by one goroutine only.
type SlowStart struct {
	config      Config
	random      *rand.Rand
	learnedAt   time.Duration // when the process learned of the start
	phaseShift  time.Duration // random shift of the windows, so that processes change quotas at different times
	drawnWindow int           // number of the window for which draw was drawn; 0 before the first
	draw        float64       // random number from 0 to 1, drawn once per window
}

// New returns the SlowStart for a server whose start the process has learned of now. Each process
// must use a different seed.
func New(c Config, seed uint64, now time.Duration) *SlowStart {
	random := rand.New(rand.NewPCG(seed, uint64(now)))
	s := &SlowStart{config: c, random: random, learnedAt: now}
	if c.AveragingWindow > 0 {
		s.phaseShift = time.Duration(random.Int64N(int64(c.AveragingWindow)))
	}
	return s
}

// Quota returns how many runs this process may have in flight at the server now; math.MaxInt if the
// server is warm. If the process's share of the total is not an integer, it is rounded up or down at
// random once per averaging window, up with a probability equal to its fractional part. Because
// processes draw independently, the sum of their quotas deviates from the total only randomly, by an
// amount that grows with the square root of the total.
func (s *SlowStart) Quota(now time.Duration) int {
	age := now - s.learnedAt
	if s.config.IsWarm(age) {
		return math.MaxInt
	}
	if window := s.windowNumber(age); window != s.drawnWindow {
		s.drawnWindow = window
		s.draw = s.random.Float64()
	}
	quota := s.config.MaxRuns(age) / float64(max(1, s.config.Processes))
	rounded := math.Floor(quota)
	if s.draw < quota-rounded {
		rounded++
	}
	return int(rounded)
}

// windowNumber returns the number of the averaging window at the given age. Numbers start at 1.
func (s *SlowStart) windowNumber(age time.Duration) int {
	if s.config.AveragingWindow <= 0 {
		return 1
	}
	return int((age+s.phaseShift)/s.config.AveragingWindow) + 1
}
