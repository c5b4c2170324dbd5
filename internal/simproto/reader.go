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

// Create is the content of a CREATE message, which starts or restarts an instance.
type Create struct {
	Seed     uint64
	Settings admission.Settings
}

// Message is one message to one instance. Exactly one of Create, Detach and Event is set.
type Message struct {
	Instance string
	Line     int     // line number, for error messages
	Create   *Create // the instance starts or restarts
	Detach   bool    // the instance was stopped
	Event    admission.Event
}

// Batch is the list of messages at one clock time.
type Batch struct {
	Now      time.Duration
	Messages []Message
}

// readBufferBytes is the size of a Reader's buffer. Lines may be longer than the buffer.
const readBufferBytes = 1 << 16

// Reader reads batches from an input stream.
type Reader struct {
	in   *bufio.Reader
	line int // number of the line read last, starting at 1
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBufferBytes)}
}

// Read returns the next batch, or io.EOF if the input ends between batches. An error in the input is
// returned as a *LineError.
func (r *Reader) Read() (Batch, error) {
	var b Batch
	line, err := r.readLine()
	if err != nil {
		return b, err
	}
	if b.Now, err = r.parseBatchStart(line); err != nil {
		return b, err
	}
	for instance := ""; ; {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return b, r.lineErrorf("input ends inside a batch: %w", io.ErrUnexpectedEOF)
		}
		if err != nil {
			return b, err
		}
		switch line.message {
		case messageBatchEnd:
			return b, nil
		case messageBatchStart:
			return b, r.lineErrorf("%s %w", line.message, ErrInsideBatch)
		case messageInstance:
			instance, err = r.parseInstance(line)
		default:
			err = r.addMessage(&b, instance, line)
		}
		if err != nil {
			return b, err
		}
	}
}

// inputLine is a line of the input, split at its first tab.
type inputLine struct {
	message string
	fields  fields
}

// readLine returns the next non-empty line.
func (r *Reader) readLine() (inputLine, error) {
	for {
		text, err := r.in.ReadString('\n')
		if err != nil && (err != io.EOF || text == "") {
			return inputLine{}, err
		}
		r.line++
		text = strings.TrimRight(text, "\r\n")
		if text == "" {
			continue
		}
		message, rest, _ := strings.Cut(text, "\t")
		return inputLine{message, fields{unparsed: rest}}, nil
	}
}

// parseBatchStart parses the clock time in the first line of a batch.
func (r *Reader) parseBatchStart(l inputLine) (time.Duration, error) {
	if l.message != messageBatchStart {
		return 0, r.lineErrorf("%s %w", l.message, ErrOutsideBatch)
	}
	l.fields.parse()
	now := l.fields.uintField(fieldClockTime, required, math.MaxInt64)
	return time.Duration(now), r.fieldsError(l)
}

// parseInstance parses the instance name in an ABOUT line.
func (r *Reader) parseInstance(l inputLine) (string, error) {
	l.fields.parse()
	name := l.fields.textField(fieldInstance)
	if name == "" {
		l.fields.recordError(fieldInstance, ErrMissing)
	}
	return name, r.fieldsError(l)
}

// addMessage parses a message and appends it to the batch. Unknown messages are ignored.
func (r *Reader) addMessage(b *Batch, instance string, l inputLine) error {
	m := Message{Instance: instance, Line: r.line}
	switch l.message {
	case messageCreate:
		m.Create = l.fields.parseCreate()
	case messageDetach:
		m.Detach = true
	default:
		m.Event = l.fields.parseEvent(l.message)
	}
	if err := r.fieldsError(l); err != nil {
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

// fieldsError returns the error of the line's fields as a *LineError, or nil.
func (r *Reader) fieldsError(l inputLine) error {
	if l.fields.err == nil {
		return nil
	}
	return &LineError{r.line, l.message, l.fields.err}
}

func (r *Reader) lineErrorf(format string, args ...any) error {
	return &LineError{Line: r.line, Err: fmt.Errorf(format, args...)}
}
