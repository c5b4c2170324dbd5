package admission

import "math"

// Run time estimates: the service rate μ and, per class, the mean run time and the fraction of runs
// that successfully answer their caller.

const (
	// initialRunsPerObjective is the initial estimate of the latency objective as a multiple of the
	// mean run time.
	initialRunsPerObjective = 6.0
	// priorRuns is the number of completed runs that the initial estimate counts for.
	priorRuns = 3.0
	// maxRememberedRuns is the number of completed runs over which μ is estimated. It leaves a
	// relative error of 1/√40.
	maxRememberedRuns = 40.0
	// toleratedOverdueCompletions is the number of overdue completions above which the estimate of μ is
	// lowered.
	toleratedOverdueCompletions = 5.0
	// minSuccessFraction is the success fraction of a class whose runs all fail. It is above 0 so that
	// the class is admitted again after it recovers.
	minSuccessFraction = 0.1
	// minRunSeconds, in run-seconds, prevents a division by 0.
	minRunSeconds = 1e-9
)

// runTimes holds the estimates. Run-seconds are seconds multiplied by the number of running
// requests.
type runTimes struct {
	completed              float64   // number of completed runs; limitHistory discounts older runs
	runSeconds             float64   // run-seconds of completed and current runs; limitHistory discounts older runs
	runSecondsSinceRelease float64   // run-seconds since a run last released its core
	meanRunSeconds         []float64 // moving average of the run time in seconds, by class
	successFraction        []float64 // moving average of the fraction of runs that answered their caller successfully, by class
}

func newRunTimes(classes []Class) runTimes {
	t := runTimes{
		completed:       priorRuns,
		meanRunSeconds:  make([]float64, len(classes)),
		successFraction: make([]float64, len(classes)),
	}
	for i, class := range classes {
		t.successFraction[i] = 1
		t.meanRunSeconds[i] = class.LatencyObjective.Seconds() / initialRunsPerObjective
		t.runSeconds += t.meanRunSeconds[i] * priorRuns / float64(len(classes))
	}
	return t
}

// addRunSeconds adds run-seconds that have passed.
func (t *runTimes) addRunSeconds(runSeconds float64) {
	t.runSeconds += runSeconds
	t.runSecondsSinceRelease += runSeconds
}

// resetOverdueCompletions is called when a run releases its core, and when a run starts while no other is
// running.
func (t *runTimes) resetOverdueCompletions() { t.runSecondsSinceRelease = 0 }

// observe counts a run that ended by itself after the given seconds.
func (t *runTimes) observe(class int, seconds float64) {
	t.completed++
	updateMean(&t.meanRunSeconds[class], seconds)
}

// observeSuccess records whether a run answered its caller successfully. A class whose calls fail
// must not displace the other classes.
func (t *runTimes) observeSuccess(class int, servedCaller bool) {
	success := minSuccessFraction
	if servedCaller {
		success = 1
	}
	updateMean(&t.successFraction[class], success)
}

// limitHistory limits the number of completed runs in the estimate of μ, so that older runs lose
// weight.
func (t *runTimes) limitHistory() {
	if t.completed > maxRememberedRuns {
		t.runSeconds *= maxRememberedRuns / t.completed
		t.completed = maxRememberedRuns
	}
}

// serviceRate is μ, in completions per run-second. The estimate is lowered if no run has released
// its core for much longer than it predicts, which indicates a hang or a sudden slowdown.
func (t *runTimes) serviceRate() float64 {
	rate := t.completed / t.runSeconds
	if t.overdueCompletions() > toleratedOverdueCompletions {
		rate = math.Min(rate, toleratedOverdueCompletions/t.runSecondsSinceRelease)
	}
	return rate
}

// overdueCompletions is the number of overdue completions: how many runs should have released their cores
// since the last one did.
func (t *runTimes) overdueCompletions() float64 {
	return t.runSecondsSinceRelease * t.completed / math.Max(t.runSeconds-t.runSecondsSinceRelease, minRunSeconds)
}
