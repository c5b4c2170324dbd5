// Package chart draws a maintenance plan: the time that each machine is out, grouped by zone, and the
// capacity that stays in service.
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
	rowHeight    = 0.45 * vg.Centimeter // height of the row of one machine
	minHeight    = 8 * vg.Centimeter
	extraRows    = 6   // rows for the title, the axis and the legend
	legendRows   = 2   // rows above the machines, for the legend
	barThickness = 0.8 // fraction of a row's height
)

// Draw writes a chart of a plan to a file. The file's extension selects the format, such as .svg or .png.
// totalCapacity is the capacity of all machines, in cores.
func Draw(path string, plan maintenance.Plan, totalCapacity float64) error {
	c := plot.New()
	c.Title.Text = fmt.Sprintf("Machines out for maintenance: %v in total", plan.Duration)
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
	height := max(minHeight, rowHeight*vg.Length(len(schedule)+extraRows))
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

// addBars adds a bar for each machine, in the color of its zone.
func addBars(c *plot.Plot, schedule []maintenance.ScheduledTask) error {
	var zones []string
	for _, t := range schedule {
		if !slices.Contains(zones, t.Zone) {
			zones = append(zones, t.Zone)
		}
	}
	const minColors = 2 // minimum size of a palette
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

// addCapacity adds a line that shows the capacity in service.
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
	c.Legend.Add(fmt.Sprintf("cores in service, of %.0f (full height)", totalCapacity), line)
	return nil
}

// capacityChange is a change of the capacity in service at a point in time.
type capacityChange struct {
	minute float64
	cores  float64 // negative if capacity goes out of service
}

// capacitySteps returns the capacity in service over time as a step function. It is scaled so that
// totalCapacity corresponds to height.
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
