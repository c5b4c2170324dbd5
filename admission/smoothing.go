package admission

// requestSmoothingFactor is the weight of one request in exponential means over
// requests: the last 20 count most.
const requestSmoothingFactor = 0.05

// updateMean moves an exponential mean towards the value of one more request.
func updateMean(mean *float64, value float64) {
	*mean += (value - *mean) * requestSmoothingFactor
}
