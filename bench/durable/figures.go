package main

import (
	"fmt"
	"runtime"
	"slices"
)

// medianAndRange formats the median, the minimum and the maximum of some figures.
func medianAndRange(figures []float64, format string) string {
	sorted := slices.Sorted(slices.Values(figures))
	smallest := sorted[0]
	median := sorted[len(sorted)/2]
	largest := sorted[len(sorted)-1]
	return fmt.Sprintf(format+" ("+format+" to "+format+")", median, smallest, largest)
}

// ratios returns the quotients of the figures of each round.
func ratios(dividends, divisors []float64) []float64 {
	quotients := make([]float64, len(dividends))
	for i := range dividends {
		quotients[i] = dividends[i] / divisors[i]
	}
	return quotients
}

// heapBytes returns the length of the reachable objects on the heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC() // frees objects that finalizers released after the first collection
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// heapGrowthPerKey returns the growth of the heap in bytes per key.
func heapGrowthPerKey(before uint64, keys int) float64 {
	return float64(int64(heapBytes())-int64(before)) / float64(keys)
}
