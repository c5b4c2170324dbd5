// Package simproto reads and prints the line protocol that drives the controllers.
// It decides nothing: unknown messages, fields and settings are skipped, and a
// malformed line is reported with its number and field.
package simproto

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"oxbowbridge/admission"
)

// Create is the start of an instance.
type Create struct {
	Seed     uint64
	Settings admission.Settings
}

// Item is one message to one instance: its start, its death or an event.
type Message struct {
	Instance string
	Line     int // for messages on errors
	Create   *Create
	Detach   bool
	Event    admission.Event
}

// Batch is all that happened at one clock time.
type Batch struct {
	Now      time.Duration
	Messages []Message
}

// Reader reads batches.
type Reader struct {
	in   *bufio.Reader
	line int
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, 1<<16)} }

// Read returns the next batch, or io.EOF when the input ends between batches.
func (r *Reader) Read() (Batch, error) {
	var b Batch
	open, instance := false, ""
	for {
		text, err := r.in.ReadString('\n')
		if err != nil && (err != io.EOF || text == "") {
			if err == io.EOF && open {
				return b, fmt.Errorf("line %d: input ends inside a batch: %w", r.line, io.ErrUnexpectedEOF)
			}
			return b, err
		}
		r.line++
		text = strings.TrimRight(text, "\r\n")
		if text == "" {
			continue
		}
		name, rest, _ := strings.Cut(text, "\t")
		f := fields{rest: rest}
		if !open {
			if name != "TICK" {
				return b, fmt.Errorf("line %d: %s outside a batch, want TICK", r.line, name)
			}
			open = true
			b.Now = time.Duration(f.parse().count("ts_ns", true, math.MaxInt64))
			if f.err != nil {
				return b, fmt.Errorf("line %d: %s: %w", r.line, name, f.err)
			}
			continue
		}
		item := Message{Instance: instance, Line: r.line}
		switch name {
		case "EOF_BATCH":
			return b, nil
		case "TICK":
			return b, fmt.Errorf("line %d: TICK inside a batch", r.line)
		case "ABOUT":
			if instance = f.parse().text("i"); instance == "" && f.err == nil {
				f.fail("i", errMissing)
			}
		case "CREATE":
			item.Create = f.create()
		case "DETACH":
			item.Detach = true
		default:
			item.Event = f.event(name)
		}
		if f.err != nil {
			return b, fmt.Errorf("line %d: %s: %w", r.line, name, f.err)
		}
		if item.Create == nil && !item.Detach && item.Event == nil {
			continue
		}
		if instance == "" {
			return b, fmt.Errorf("line %d: %s: field i: no ABOUT line before it", r.line, name)
		}
		b.Messages = append(b.Messages, item)
	}
}

var (
	errMissing = errors.New("missing")
	errNumber  = errors.New("not a number in range")
	errUnknown = errors.New("unknown word")
)

// fields are the name=value pairs of one line; the first error sticks.
type fields struct {
	rest  string
	names []string
	vals  []string
	err   error
}

func (f *fields) fail(name string, err error) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %w", name, err)
	}
}

// parse splits the line. A text field takes all that is left of it.
func (f *fields) parse() *fields {
	for rest := f.rest; rest != "" && f.err == nil; {
		if strings.HasPrefix(rest, "settings=") {
			f.names, f.vals = append(f.names, "settings"), append(f.vals, rest[len("settings="):])
			break
		}
		part, after, _ := strings.Cut(rest, "\t")
		name, val, ok := strings.Cut(part, "=")
		if !ok {
			f.fail(strconv.Quote(part), errors.New("want name=value"))
		}
		f.names, f.vals = append(f.names, name), append(f.vals, val)
		rest = after
	}
	return f
}

func (f *fields) text(name string) string {
	for i, n := range f.names {
		if n == name {
			return f.vals[i]
		}
	}
	return ""
}

// count reads a whole number from 0 to most.
func (f *fields) count(name string, required bool, most uint64) uint64 {
	t := f.text(name)
	if t == "" {
		if required {
			f.fail(name, errMissing)
		}
		return 0
	}
	n, err := strconv.ParseUint(t, 10, 64)
	if err != nil || n > most {
		f.fail(name, errNumber)
	}
	return n
}

func (f *fields) span(name string) time.Duration {
	return time.Duration(f.count(name, false, math.MaxInt64))
}

func (f *fields) id(name string) uint32 { return uint32(f.count(name, true, math.MaxUint32)) }

func (f *fields) index(name string) int { return int(f.count(name, false, math.MaxInt32)) }

func (f *fields) number(name string) float64 {
	t := f.text(name)
	if t == "" {
		return 0
	}
	x, err := strconv.ParseFloat(t, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		f.fail(name, errNumber)
	}
	return x
}

func (f *fields) flag(name string) bool {
	switch t := f.text(name); t {
	case "", "0":
		return false
	case "1":
		return true
	default:
		f.fail(name, errors.New("want 0 or 1"))
		return false
	}
}

var outcomes = map[string]admission.Outcome{
	"OK": admission.OutcomeOK, "INTERNAL": admission.OutcomeInternal, "RESOURCE_EXHAUSTED": admission.OutcomeResourceExhausted,
	"DEADLINE_EXCEEDED": admission.OutcomeDeadlineExceeded, "UNAVAILABLE": admission.OutcomeUnavailable,
	"ABORTED": admission.OutcomeAborted, "CANCELLED": admission.OutcomeCanceled, "TOO_LATE": admission.OutcomeNotStarted,
}

func (f *fields) outcome() admission.Outcome {
	t := f.text("outcome")
	o, ok := outcomes[t]
	switch {
	case t == "":
		f.fail("outcome", errMissing)
	case !ok:
		f.fail("outcome", errUnknown)
	}
	return o
}

// gauges reads name:value pairs set apart by commas.
func (f *fields) gauges() admission.Gauges {
	g := admission.Gauges{CPUUtilization: -1, RunQueue: -1, MemoryUtilization: -1, Connections: -1}
	for rest := f.text("usage"); rest != ""; {
		var pair string
		pair, rest, _ = strings.Cut(rest, ",")
		name, val, _ := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(val, 64)
		if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			f.fail("usage", fmt.Errorf("%s: %w", name, errNumber))
			return g
		}
		setGauge(&g, name, x)
	}
	return g
}

// setGauge skips a gauge that is not known.
func setGauge(g *admission.Gauges, name string, x float64) {
	switch name {
	case "core_use":
		g.CPUUtilization = x
	case "on_cores":
		g.RunQueue = x
	case "heap_share":
		g.MemoryUtilization = x
	case "links":
		g.Connections = x
	}
}

// event returns nil for a message that is not known.
func (f *fields) event(name string) admission.Event {
	switch name {
	case "ACCEPT":
		f.parse()
		return admission.Arrival{
			ID: f.id("op_id"), Class: f.index("category"), Tenant: f.index("realm"),
			Timeout: f.span("time_left_ns"), ExpectedWork: f.span("estimate_ns"), Age: f.span("waited_ns"),
			MemoryKB: f.number("held_kb"), Rank: f.number("place"), HasKey: f.text("resource") != "",
			Retry: f.flag("repeat"), DuplicateOf: uint32(f.count("dup_of", false, math.MaxUint32)),
		}
	case "COMPLETED":
		f.parse()
		return admission.Completed{ID: f.id("op_id"), Elapsed: f.span("took_ns"), Outcome: f.outcome()}
	case "LAPSED":
		return admission.Canceled{ID: f.parse().id("op_id")}
	case "AWAITING":
		return admission.CallNeeded{ID: f.parse().id("op_id")}
	case "DEP_REPLY":
		f.parse()
		return admission.CallCompleted{ID: f.id("op_id"), Elapsed: f.span("took_ns"), Outcome: f.outcome()}
	case "SIGTERM":
		return admission.Drain{StopIn: f.parse().span("time_left_ns")}
	case "DUE":
		f.parse()
		return admission.TimerFired{TimerID: f.count("ref", false, math.MaxInt64), Gauges: f.gauges()}
	}
	return nil
}
