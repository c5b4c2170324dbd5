package admission

// Slow start: a cold server is slower and survives fewer runs on its cores.
// Inputs: SlowStart, SlowStartMinSpeed, SlowStartDuration, MaxRunsPerCore.

// speed is the fraction of its warm speed that the server has at least: it grows
// by even steps from SlowStartMinSpeed to 1.
func (c *Controller) speed() float64 {
	s := &c.settings
	if !s.SlowStart || c.now >= c.startedAt+s.SlowStartDuration {
		return 1
	}
	elapsed := float64(c.now-c.startedAt) / float64(s.SlowStartDuration)
	return s.SlowStartMinSpeed + (1-s.SlowStartMinSpeed)*elapsed
}

// maxRuns is the number of runs on the cores that the server survives now.
func (c *Controller) maxRuns() float64 {
	return float64(c.settings.Cores) * (1 + (c.settings.MaxRunsPerCore-1)*c.speed())
}
