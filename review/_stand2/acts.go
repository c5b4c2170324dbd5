package main

import (
	"bufio"
	"fmt"
	"os"
	"time"
)

// span is the time from a name's first act to its last.
type span struct {
	name        string
	first, last int64 // Unix nanoseconds
	acts        int
}

func readText(path string) string {
	text, _ := os.ReadFile(path)
	return string(text)
}

// readActs reads the acts in a file, one a line: UNIX_NANO NAME WHAT. The spans are in the order of their
// first acts. The first and the last act of each name, and all that are not plain acts, go to the record.
func (r *rig) readActs(path string) (spans []*span) {
	file, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer file.Close()
	byName := map[string]*span{}
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		var at int64
		var name, what string
		if _, err := fmt.Sscanf(scanner.Text(), "%d %s %s", &at, &name, &what); err != nil {
			continue
		}
		s := byName[name]
		if s == nil {
			s = &span{name: name, first: at}
			byName[name] = s
			spans = append(spans, s)
		}
		s.last = max(s.last, at)
		s.acts++
		if what != "acts" {
			r.note("%.3f  %s %s", time.Unix(0, at).Sub(r.started).Seconds(), name, what)
		}
	}
	for _, s := range spans {
		r.note("%s: %d acts, the first at %.3f, the last at %.3f", s.name, s.acts,
			time.Unix(0, s.first).Sub(r.started).Seconds(), time.Unix(0, s.last).Sub(r.started).Seconds())
	}
	return spans
}

// overlaps returns each pair of spans of which the later one begins before the earlier one has ended.
func overlaps(spans []*span) (broken []string) {
	for i, a := range spans {
		for _, b := range spans[i+1:] {
			if b.first < a.last {
				broken = append(broken, fmt.Sprintf("%s acted for %.3f s while %s still acted", b.name, float64(min(a.last, b.last)-b.first)/1e9, a.name))
			}
		}
	}
	return broken
}
