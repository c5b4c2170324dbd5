package main

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Values of figures are whole numbers from 1 to maxFigure, with figureDigits significant
// digits.
const (
	maxFigure    = 10_000_000
	figureDigits = 3
)

// figure is what was measured of one build.
type figure struct {
	measured string // with its unit
	build    string
	values   *hdrhistogram.Histogram
}

// figures are all figures, in the order of their first values.
type figures []*figure

// add adds a value to a figure.
func (f *figures) add(measured, buildName string, value float64) {
	i := slices.IndexFunc(*f, func(x *figure) bool { return x.measured == measured && x.build == buildName })
	if i < 0 {
		i = len(*f)
		*f = append(*f, &figure{measured, buildName, hdrhistogram.New(1, maxFigure, figureDigits)})
	}
	(*f)[i].values.RecordValue(int64(value))
}

// print prints a table, with the builds beside each other.
func (f figures) print() {
	slices.SortStableFunc(f, func(a, b *figure) int { return cmp.Compare(a.measured, b.measured) })
	fmt.Print("| measured | build | times | median | p99 | min | max |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, x := range f {
		fmt.Printf("| %s | %s | %d | %d | %d | %d | %d |\n", x.measured, x.build, x.values.TotalCount(),
			x.values.ValueAtQuantile(50), x.values.ValueAtQuantile(99), x.values.Min(), x.values.Max())
	}
}
