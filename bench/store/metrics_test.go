package main

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMetricsOfSeveralGoroutines guards against a data race in metrics.add: when several goroutines added values at the
// same time, values were lost, or a metric was created twice.
func TestMetricsOfSeveralGoroutines(t *testing.T) {
	const (
		goroutines = 8
		values     = 10_000
	)
	var all metrics
	var writers sync.WaitGroup
	for range goroutines {
		writers.Go(func() {
			for range values {
				all.add("us of a write", "now", 100)
			}
		})
	}
	writers.Wait()
	require.Len(t, all.entries, 1)
	require.EqualValues(t, goroutines*values, all.entries[0].values.TotalCount())
}
