package main

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Metrics have integer values from 1 to maxMetricValue, which are stored with significantDigits digits.
const (
	maxMetricValue    = 10_000_000
	significantDigits = 3
)

// metric has the measured values of one quantity for one build.
type metric struct {
	name   string // what was measured, with the unit
	build  string
	values *hdrhistogram.Histogram
}

// metrics is the set of all metrics. It is safe for concurrent use.
type metrics struct {
	mu      sync.Mutex
	entries []*metric // in the order of their first values
}

// add records a value of a metric.
func (m *metrics) add(name, buildName string, value float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.IndexFunc(m.entries, func(x *metric) bool { return x.name == name && x.build == buildName })
	if i < 0 {
		i = len(m.entries)
		m.entries = append(m.entries, &metric{name, buildName, hdrhistogram.New(1, maxMetricValue, significantDigits)})
	}
	m.entries[i].values.RecordValue(int64(value))
}

// print prints a Markdown table, in which the rows of all builds for a metric are adjacent.
func (m *metrics) print() {
	m.mu.Lock()
	defer m.mu.Unlock()
	slices.SortStableFunc(m.entries, func(a, b *metric) int { return cmp.Compare(a.name, b.name) })
	fmt.Print("| measured | build | times | median | p99 | min | max |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, x := range m.entries {
		fmt.Printf("| %s | %s | %d | %d | %d | %d | %d |\n", x.name, x.build, x.values.TotalCount(),
			x.values.ValueAtQuantile(50), x.values.ValueAtQuantile(99), x.values.Min(), x.values.Max())
	}
}
