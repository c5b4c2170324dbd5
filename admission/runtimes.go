package admission

import "math"

// Run time estimates: the service rate μ, and per class the mean run time and
// the fraction of runs that answer their client.

const (
	// initialRunsPerObjective is the first guess: an objective is this many mean runs.
	initialRunsPerObjective = 6.0
	// priorRuns is the number of completed runs that the first guess counts for.
	priorRuns = 3.0
	// maxRememberedRuns is how many completed runs μ remembers: an error of 1/√40.
	maxRememberedRuns = 40.0
	// toleratedMissedRuns is how many expected completions may be missing
	// before μ is lowered.
	toleratedMissedRuns = 5.0
	// minSuccessFraction is the success of a class whose runs all fail: above 0, so
	// that it can recover.
	minSuccessFraction = 0.1
	// minRunSeconds in run-seconds avoids a division by 0.
	minRunSeconds = 1e-9
)

// runTimes holds the estimates. Run-seconds are seconds times runs on the cores.
type runTimes struct {
	completed           float64   // runs completed, fading
	runSeconds          float64   // run-seconds on the cores, fading
	runSecondsSinceExit float64   // run-seconds since a run last left the cores
	meanRunSeconds      []float64 // mean seconds on the cores, by class
	successFraction     []float64 // fraction of runs whose client got an answer, by class
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

// addRunSeconds adds the time that runs spent on the cores.
func (t *runTimes) addRunSeconds(runSeconds float64) {
	t.runSeconds += runSeconds
	t.runSecondsSinceExit += runSeconds
}

// resetMissedRuns is called when a run leaves the cores, and when one starts on empty cores.
func (t *runTimes) resetMissedRuns() { t.runSecondsSinceExit = 0 }

// observe counts a run that ended by itself after the given seconds.
func (t *runTimes) observe(class int, seconds float64) {
	t.completed++
	updateMean(&t.meanRunSeconds[class], seconds)
}

// observeSuccess notes whether a run answered its client. A class whose calls
// fail must not crowd out the others.
func (t *runTimes) observeSuccess(class int, servedCaller bool) {
	success := minSuccessFraction
	if servedCaller {
		success = 1
	}
	updateMean(&t.successFraction[class], success)
}

// limitHistory limits the completed runs that are remembered.
func (t *runTimes) limitHistory() {
	if t.completed > maxRememberedRuns {
		t.runSeconds *= maxRememberedRuns / t.completed
		t.completed = maxRememberedRuns
	}
}

// serviceRate is μ, completions per run-second. It is lowered when no run
// has left the cores for much longer than it predicts: a hang or a sudden slowdown.
func (t *runTimes) serviceRate() float64 {
	rate := t.completed / t.runSeconds
	if t.missedRuns() > toleratedMissedRuns {
		rate = math.Min(rate, toleratedMissedRuns/t.runSecondsSinceExit)
	}
	return rate
}

// missedRuns is how many runs should have left the cores since the last one did.
func (t *runTimes) missedRuns() float64 {
	return t.runSecondsSinceExit * t.completed / math.Max(t.runSeconds-t.runSecondsSinceExit, minRunSeconds)
}
