// Package chart draws a plan of work: who is out when, by zone, and what capacity is
// left meanwhile.
package chart

import (
	"fmt"
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"oxbowbridge/internal/maintenance"
)

const (
	width = 26 * vg.Centimeter
	row   = 0.45 * vg.Centimeter // of a machine
	least = 8 * vg.Centimeter
	bar   = 0.8 // of a row
)

// Draw writes a chart of a plan to a file, as SVG or PNG by its ending. total is the
// capacity of all machines, in cores.
func Draw(path string, p maintenance.Plan, total float64) error {
	c := plot.New()
	c.Title.Text = fmt.Sprintf("Machines out for work: %v in all", p.Duration)
	c.X.Label.Text, c.Y.Label.Text = "minutes from now", "machine, by zone"
	placed := slices.Clone(p.Schedule)
	slices.SortStableFunc(placed, func(a, b maintenance.ScheduledTask) int {
		if a.Zone != b.Zone {
			if a.Zone < b.Zone {
				return -1
			}
			return 1
		}
		return int(a.Start - b.Start)
	})
	var zones, names []string
	for _, x := range placed {
		if !slices.Contains(zones, x.Zone) {
			zones = append(zones, x.Zone)
		}
		names = append(names, x.Node)
	}
	colors := moreland.SmoothBlueRed().Palette(max(len(zones), 2)).Colors()
	for i, x := range placed {
		from, to, y := x.Start.Minutes(), x.End.Minutes(), float64(i)
		box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: y - bar/2}, {X: to, Y: y - bar/2}, {X: to, Y: y + bar/2}, {X: from, Y: y + bar/2}})
		if err != nil {
			return fmt.Errorf("draw %s: %w", x.Node, err)
		}
		box.Color = colors[slices.Index(zones, x.Zone)]
		c.Add(box)
		if i == 0 || placed[i-1].Zone != x.Zone {
			c.Legend.Add("zone "+x.Zone, box)
		}
	}
	left, err := plotter.NewLine(capacity(p, total, float64(max(len(placed), 1))))
	if err != nil {
		return fmt.Errorf("draw capacity: %w", err)
	}
	left.Color, left.Width = color.Black, vg.Points(1.5)
	c.Add(left)
	c.Legend.Add(fmt.Sprintf("cores left, of %.0f (full height)", total), left)
	c.Legend.Top = true
	c.NominalY(names...)
	c.Y.Max = float64(len(placed)) + 2
	if err := c.Save(width, max(least, row*vg.Length(len(placed)+6)), path); err != nil {
		return fmt.Errorf("write chart: %w", err)
	}
	return nil
}

// capacity is what is left over time, as steps, scaled so that all of it is height.
func capacity(p maintenance.Plan, total, height float64) (line plotter.XYs) {
	type change struct{ at, by float64 }
	changes := []change{{0, 0}}
	for _, x := range p.Schedule {
		changes = append(changes, change{x.Start.Minutes(), -x.Capacity}, change{x.End.Minutes(), x.Capacity})
	}
	slices.SortStableFunc(changes, func(a, b change) int {
		if a.at < b.at {
			return -1
		}
		if a.at > b.at {
			return 1
		}
		return 0
	})
	left := total
	for _, c := range changes {
		line = append(line, plotter.XY{X: c.at, Y: height * left / max(total, 1)})
		left += c.by
		line = append(line, plotter.XY{X: c.at, Y: height * left / max(total, 1)})
	}
	return line
}
