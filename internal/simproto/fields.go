package simproto

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// fields holds the name=value pairs of one line. parse must be called before the other methods. err is
// the first error of any method; after an error the returned values are meaningless.
type fields struct {
	unparsed string // the line after the message name, not parsed yet
	names    []string
	values   []string
	err      error
}

// presence says whether a field is required.
type presence bool

const (
	optional presence = false
	required presence = true
)

func (f *fields) recordError(name string, err error) {
	if f.err == nil {
		f.err = &FieldError{name, err}
	}
}

// parse splits the line into fields. The value of the settings field extends to the end of the line.
func (f *fields) parse() {
	for rest := f.unparsed; rest != "" && f.err == nil; {
		if settings, ok := strings.CutPrefix(rest, fieldSettings+"="); ok {
			f.add(fieldSettings, settings)
			break
		}
		part, after, _ := strings.Cut(rest, "\t")
		name, value, ok := strings.Cut(part, "=")
		if !ok {
			f.recordError(strconv.Quote(part), ErrMalformedField)
		}
		f.add(name, value)
		rest = after
	}
}

func (f *fields) add(name, value string) {
	f.names = append(f.names, name)
	f.values = append(f.values, value)
}

// textField returns the value of a field, or "" if the field is missing.
func (f *fields) textField(name string) string {
	if i := slices.Index(f.names, name); i >= 0 {
		return f.values[i]
	}
	return ""
}

// uintField parses an integer from 0 to limit. If the field is missing, uintField returns 0, and records
// ErrMissing if the field is required.
func (f *fields) uintField(name string, want presence, limit uint64) uint64 {
	text := f.textField(name)
	if text == "" {
		if want == required {
			f.recordError(name, ErrMissing)
		}
		return 0
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > limit {
		f.recordError(name, ErrOutOfRange)
	}
	return n
}

// durationField parses a duration in nanoseconds. It returns 0 if the field is missing.
func (f *fields) durationField(name string) time.Duration {
	return time.Duration(f.uintField(name, optional, math.MaxInt64))
}

func (f *fields) requestIDField() uint32 {
	return uint32(f.uintField(fieldRequestID, required, math.MaxUint32))
}

// indexField parses an index into a list of the settings. It returns 0 if the field is missing.
func (f *fields) indexField(name string) int {
	return int(f.uintField(name, optional, math.MaxInt32))
}

// floatField parses a finite, non-negative number. It returns 0 if the field is missing.
func (f *fields) floatField(name string) float64 {
	text := f.textField(name)
	if text == "" {
		return 0
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !isFinite(x) || x < 0 {
		f.recordError(name, ErrOutOfRange)
	}
	return x
}

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// boolField parses a Boolean value, 0 or 1. It returns false if the field is missing.
func (f *fields) boolField(name string) bool {
	switch f.textField(name) {
	case "", "0":
		return false
	case "1":
		return true
	}
	f.recordError(name, ErrNotBool)
	return false
}
