package admission

// Slow start: a server that is still warming up is slower and sustains fewer concurrent runs.
// Package internal/proxy/slowstart has the same formula for the servers to which a process sends
// requests. The two are separate because this package must not import other packages of the module.
// Here the runs are those of this server, and concurrency.go uses only usableRunsFraction of them;
// internal/proxy/slowstart divides all of them among the senders. Inputs: SlowStart,
// SlowStartMinSpeed, SlowStartDuration, MaxRunsPerCore.

// relativeSpeed is the guaranteed speed of the server as a fraction of its warm speed. It increases
// linearly from SlowStartMinSpeed to 1.
func (c *Controller) relativeSpeed() float64 {
	s := &c.settings
	if !s.SlowStart || c.now >= c.startedAt+s.SlowStartDuration {
		return 1
	}
	elapsed := float64(c.now-c.startedAt) / float64(s.SlowStartDuration)
	return s.SlowStartMinSpeed + (1-s.SlowStartMinSpeed)*elapsed
}

// maxRuns is the number of concurrent runs that the server currently sustains.
func (c *Controller) maxRuns() float64 {
	return float64(c.settings.Cores) * (1 + (c.settings.MaxRunsPerCore-1)*c.relativeSpeed())
}
