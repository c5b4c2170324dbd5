package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// printTable prints rows with aligned columns. The first row is the header.
func printTable(out io.Writer, rows ...[]any) error {
	const columnGap = 2
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// printJSON prints a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
