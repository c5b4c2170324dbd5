package main

import (
	"fmt"
	"runtime"
	"slices"
)

// medianAndRange formats the median of some figures, with the smallest and the largest.
func medianAndRange(figures []float64, format string) string {
	sorted := slices.Sorted(slices.Values(figures))
	smallest := sorted[0]
	median := sorted[len(sorted)/2]
	largest := sorted[len(sorted)-1]
	return fmt.Sprintf(format+" ("+format+" to "+format+")", median, smallest, largest)
}

// ratios divides round by round.
func ratios(dividends, divisors []float64) []float64 {
	quotients := make([]float64, len(dividends))
	for i := range dividends {
		quotients[i] = dividends[i] / divisors[i]
	}
	return quotients
}

// heapBytes is what is reachable on the heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC() // a second time for what finalizers released
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// heapGrowth is by how many bytes the heap has grown for each key.
func heapGrowth(before uint64, keys int) float64 {
	return float64(int64(heapBytes())-int64(before)) / float64(keys)
}
