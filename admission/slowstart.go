package admission

// Slow start: a cold server is slower and survives fewer runs on its cores.
// Package internal/proxy/slowstart has the same formula for the servers to which a
// process sends; the two stand apart because this package imports no other of the
// module. Here the runs are those of this server, and concurrency.go uses only
// usableRunsFraction of them; there they are divided among the senders, whole.
// Inputs: SlowStart, SlowStartMinSpeed, SlowStartDuration, MaxRunsPerCore.

// relativeSpeed is the fraction of its warm relativeSpeed that the server has at least: it grows
// by even steps from SlowStartMinSpeed to 1.
func (c *Controller) relativeSpeed() float64 {
	s := &c.settings
	if !s.SlowStart || c.now >= c.startedAt+s.SlowStartDuration {
		return 1
	}
	elapsed := float64(c.now-c.startedAt) / float64(s.SlowStartDuration)
	return s.SlowStartMinSpeed + (1-s.SlowStartMinSpeed)*elapsed
}

// maxRuns is the number of runs on the cores that the server survives now.
func (c *Controller) maxRuns() float64 {
	return float64(c.settings.Cores) * (1 + (c.settings.MaxRunsPerCore-1)*c.relativeSpeed())
}
