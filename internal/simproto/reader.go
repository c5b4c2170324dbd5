package simproto

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"oxbowbridge/admission"
)

// Create starts an instance.
type Create struct {
	Seed     uint64
	Settings admission.Settings
}

// Message is one message to one instance. Exactly one of Create, Detach and
// Event is set.
type Message struct {
	Instance string
	Line     int     // for messages on errors
	Create   *Create // the instance starts
	Detach   bool    // the instance has died
	Event    admission.Event
}

// Batch is all that happened at one clock time.
type Batch struct {
	Now      time.Duration
	Messages []Message
}

// readBufferBytes is the size of a Reader's buffer; lines may be longer.
const readBufferBytes = 1 << 16

// Reader reads batches.
type Reader struct {
	in   *bufio.Reader
	line int // number of the latest line, from 1
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBufferBytes)}
}

// Read returns the next batch, or io.EOF when the input ends between batches.
// Errors in the input are *LineError.
func (r *Reader) Read() (Batch, error) {
	var b Batch
	line, err := r.readLine()
	if err != nil {
		return b, err
	}
	if b.Now, err = r.batchStart(line); err != nil {
		return b, err
	}
	for instance := ""; ; {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return b, r.errorf("input ends inside a batch: %w", io.ErrUnexpectedEOF)
		}
		if err != nil {
			return b, err
		}
		switch line.message {
		case messageBatchEnd:
			return b, nil
		case messageBatchStart:
			return b, r.errorf("%s %w", line.message, ErrInsideBatch)
		case messageInstance:
			instance, err = r.instance(line)
		default:
			err = r.add(&b, instance, line)
		}
		if err != nil {
			return b, err
		}
	}
}

// line is a line that was split at its first tab.
type line struct {
	message string
	fields  fields
}

// readLine returns the next line that isn't empty.
func (r *Reader) readLine() (line, error) {
	for {
		text, err := r.in.ReadString('\n')
		if err != nil && (err != io.EOF || text == "") {
			return line{}, err
		}
		r.line++
		text = strings.TrimRight(text, "\r\n")
		if text == "" {
			continue
		}
		message, rest, _ := strings.Cut(text, "\t")
		return line{message, fields{rest: rest}}, nil
	}
}

// batchStart reads the clock time of a batch.
func (r *Reader) batchStart(l line) (time.Duration, error) {
	if l.message != messageBatchStart {
		return 0, r.errorf("%s %w", l.message, ErrOutsideBatch)
	}
	l.fields.parse()
	now := l.fields.count(fieldClockTime, required, math.MaxInt64)
	return time.Duration(now), r.lineError(l)
}

// instance reads the name of the instance of the messages that follow.
func (r *Reader) instance(l line) (string, error) {
	l.fields.parse()
	name := l.fields.text(fieldInstance)
	if name == "" {
		l.fields.fail(fieldInstance, ErrMissing)
	}
	return name, r.lineError(l)
}

// add appends a message to the batch, unless it is not known.
func (r *Reader) add(b *Batch, instance string, l line) error {
	m := Message{Instance: instance, Line: r.line}
	switch l.message {
	case messageCreate:
		m.Create = l.fields.create()
	case messageDetach:
		m.Detach = true
	default:
		m.Event = l.fields.event(l.message)
	}
	if err := r.lineError(l); err != nil {
		return err
	}
	if m.Create == nil && !m.Detach && m.Event == nil {
		return nil
	}
	if instance == "" {
		return &LineError{r.line, l.message, &FieldError{fieldInstance, ErrNoInstance}}
	}
	b.Messages = append(b.Messages, m)
	return nil
}

// lineError is the error of the line's fields, if there is one.
func (r *Reader) lineError(l line) error {
	if l.fields.err == nil {
		return nil
	}
	return &LineError{r.line, l.message, l.fields.err}
}

func (r *Reader) errorf(format string, args ...any) error {
	return &LineError{Line: r.line, Err: fmt.Errorf(format, args...)}
}
