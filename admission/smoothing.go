package admission

// requestSmoothingFactor is the weight of one request in exponential moving averages over requests:
// the last 20 requests dominate.
const requestSmoothingFactor = 0.05

// updateMean updates an exponential moving average with the value of one more request.
func updateMean(mean *float64, value float64) {
	*mean += (value - *mean) * requestSmoothingFactor
}
