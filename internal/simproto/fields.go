package simproto

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// fields are the name=value pairs of one line. parse splits them, and must be called
// before the others. The first error sticks, that of parse included; after it the
// values returned mean nothing.
type fields struct {
	rest   string // of the line, before parse
	names  []string
	values []string
	err    error
}

// presence says whether a field must be there.
type presence bool

const (
	optional presence = false
	required presence = true
)

func (f *fields) fail(name string, err error) {
	if f.err == nil {
		f.err = &FieldError{name, err}
	}
}

// parse splits the line. The settings take all that follows.
func (f *fields) parse() {
	for rest := f.rest; rest != "" && f.err == nil; {
		if settings, ok := strings.CutPrefix(rest, fieldSettings+"="); ok {
			f.add(fieldSettings, settings)
			break
		}
		part, after, _ := strings.Cut(rest, "\t")
		name, value, ok := strings.Cut(part, "=")
		if !ok {
			f.fail(strconv.Quote(part), ErrNotField)
		}
		f.add(name, value)
		rest = after
	}
}

func (f *fields) add(name, value string) {
	f.names = append(f.names, name)
	f.values = append(f.values, value)
}

// text returns the field's value, or "" if it is absent.
func (f *fields) text(name string) string {
	if i := slices.Index(f.names, name); i >= 0 {
		return f.values[i]
	}
	return ""
}

// count reads a whole number from 0 to limit; an absent one is 0.
func (f *fields) count(name string, want presence, limit uint64) uint64 {
	text := f.text(name)
	if text == "" {
		if want == required {
			f.fail(name, ErrMissing)
		}
		return 0
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > limit {
		f.fail(name, ErrOutOfRange)
	}
	return n
}

// duration reads a time in nanoseconds.
func (f *fields) duration(name string) time.Duration {
	return time.Duration(f.count(name, optional, math.MaxInt64))
}

func (f *fields) requestID() uint32 {
	return uint32(f.count(fieldRequestID, required, math.MaxUint32))
}

// index reads a position in a list of the settings.
func (f *fields) index(name string) int {
	return int(f.count(name, optional, math.MaxInt32))
}

// number reads a finite number from 0 up; an absent one is 0.
func (f *fields) number(name string) float64 {
	text := f.text(name)
	if text == "" {
		return 0
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !finite(x) || x < 0 {
		f.fail(name, ErrOutOfRange)
	}
	return x
}

func finite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// flag reads 0 or 1; an absent one is false.
func (f *fields) flag(name string) bool {
	switch f.text(name) {
	case "", "0":
		return false
	case "1":
		return true
	}
	f.fail(name, ErrNotBool)
	return false
}
