package admission

// requestSmoothing is the weight of one request in exponential means over
// requests: the last 20 count most.
const requestSmoothing = 0.05

// smooth moves an exponential mean towards the value of one more request.
func smooth(mean *float64, value float64) {
	*mean += (value - *mean) * requestSmoothing
}
