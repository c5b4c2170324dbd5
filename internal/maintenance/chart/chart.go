// Package chart draws a maintenance plan: which machine is out when, by zone, and the capacity that
// stays meanwhile.
package chart

import (
	"cmp"
	"fmt"
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"oxbowbridge/internal/maintenance"
)

// Sizes of the chart.
const (
	width        = 26 * vg.Centimeter
	rowHeight    = 0.45 * vg.Centimeter // of one machine
	minHeight    = 8 * vg.Centimeter
	spareRows    = 6   // for the title, the axis and the legend
	legendRows   = 2   // above the machines
	barThickness = 0.8 // of a row
)

// Draw writes a chart of a plan to a file, as SVG or PNG by its extension. totalCapacity is that of
// all machines, in cores.
func Draw(path string, plan maintenance.Plan, totalCapacity float64) error {
	c := plot.New()
	c.Title.Text = fmt.Sprintf("Machines out for work: %v in all", plan.Duration)
	c.X.Label.Text = "minutes from now"
	c.Y.Label.Text = "machine, by zone"
	schedule := sortByZone(plan.Schedule)
	if err := addBars(c, schedule); err != nil {
		return err
	}
	if err := addCapacity(c, plan, totalCapacity); err != nil {
		return err
	}
	c.Legend.Top = true
	c.NominalY(machineNames(schedule)...)
	c.Y.Max = float64(len(schedule)) + legendRows
	height := max(minHeight, rowHeight*vg.Length(len(schedule)+spareRows))
	if err := c.Save(width, height, path); err != nil {
		return fmt.Errorf("write chart: %w", err)
	}
	return nil
}

func sortByZone(schedule []maintenance.ScheduledTask) []maintenance.ScheduledTask {
	sorted := slices.Clone(schedule)
	slices.SortStableFunc(sorted, func(a, b maintenance.ScheduledTask) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Start, b.Start))
	})
	return sorted
}

func machineNames(schedule []maintenance.ScheduledTask) (names []string) {
	for _, t := range schedule {
		names = append(names, t.Machine)
	}
	return names
}

// addBars adds a bar for each machine, in its zone's color.
func addBars(c *plot.Plot, schedule []maintenance.ScheduledTask) error {
	var zones []string
	for _, t := range schedule {
		if !slices.Contains(zones, t.Zone) {
			zones = append(zones, t.Zone)
		}
	}
	const minColors = 2 // of a palette
	colors := moreland.SmoothBlueRed().Palette(max(len(zones), minColors)).Colors()
	for row, t := range schedule {
		bar, err := newBar(row, t)
		if err != nil {
			return fmt.Errorf("draw %s: %w", t.Machine, err)
		}
		bar.Color = colors[slices.Index(zones, t.Zone)]
		c.Add(bar)
		if row == 0 || schedule[row-1].Zone != t.Zone {
			c.Legend.Add("zone "+t.Zone, bar)
		}
	}
	return nil
}

func newBar(row int, t maintenance.ScheduledTask) (*plotter.Polygon, error) {
	left, right := t.Start.Minutes(), t.End.Minutes()
	bottom, top := float64(row)-barThickness/2, float64(row)+barThickness/2
	return plotter.NewPolygon(plotter.XYs{{X: left, Y: bottom}, {X: right, Y: bottom}, {X: right, Y: top}, {X: left, Y: top}})
}

// addCapacity adds the line of the capacity that stays.
func addCapacity(c *plot.Plot, plan maintenance.Plan, totalCapacity float64) error {
	const lineWidthPoints = 1.5
	height := float64(max(len(plan.Schedule), 1))
	line, err := plotter.NewLine(capacitySteps(plan, totalCapacity, height))
	if err != nil {
		return fmt.Errorf("draw capacity: %w", err)
	}
	line.Color = color.Black
	line.Width = vg.Points(lineWidthPoints)
	c.Add(line)
	c.Legend.Add(fmt.Sprintf("cores left, of %.0f (full height)", totalCapacity), line)
	return nil
}

// capacityChange is by how much the capacity changes at a time.
type capacityChange struct {
	minute float64
	cores  float64
}

// capacitySteps returns the capacity that stays over time, as steps, scaled so that totalCapacity is
// height.
func capacitySteps(plan maintenance.Plan, totalCapacity, height float64) (line plotter.XYs) {
	changes := []capacityChange{{}}
	for _, t := range plan.Schedule {
		changes = append(changes,
			capacityChange{t.Start.Minutes(), -t.Capacity},
			capacityChange{t.End.Minutes(), t.Capacity})
	}
	slices.SortStableFunc(changes, func(a, b capacityChange) int { return cmp.Compare(a.minute, b.minute) })
	capacity := totalCapacity
	for _, change := range changes {
		line = append(line, plotter.XY{X: change.minute, Y: height * capacity / max(totalCapacity, 1)})
		capacity += change.cores
		line = append(line, plotter.XY{X: change.minute, Y: height * capacity / max(totalCapacity, 1)})
	}
	return line
}
