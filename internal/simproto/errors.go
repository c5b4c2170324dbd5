package simproto

import (
	"errors"
	"strconv"

	"oxbowbridge/internal/sitesettings"
)

// Errors of lines; they are wrapped in a LineError and a FieldError.
var (
	// ErrMissing: a required field is absent.
	ErrMissing = errors.New("missing")
	// ErrOutOfRange: a field is not a number, or not in its range.
	ErrOutOfRange = errors.New("not a number in range")
	// ErrUnknownWord: a word of an enumeration is not known, in a field or in the settings.
	ErrUnknownWord = sitesettings.ErrUnknownWord
	// ErrNotBool: a flag is neither 0 nor 1.
	ErrNotBool = errors.New("want 0 or 1")
	// ErrNotField: a part of a line is not name=value.
	ErrNotField = errors.New("want name=value")
	// ErrOutsideBatch: a message came before the batch's TICK.
	ErrOutsideBatch = errors.New("outside a batch, want " + messageBatchStart)
	// ErrInsideBatch: a TICK came before the end of the batch.
	ErrInsideBatch = errors.New("inside a batch")
	// ErrNoInstance: a message came before the batch's first ABOUT.
	ErrNoInstance = errors.New("no " + messageInstance + " line before it")
)

// LineError names the line of the input that is wrong.
type LineError struct {
	Line    int    // from 1
	Message string // name of the message; may be empty
	Err     error
}

// Error implements error.
func (e *LineError) Error() string {
	text := "line " + strconv.Itoa(e.Line) + ": "
	if e.Message != "" {
		text += e.Message + ": "
	}
	return text + e.Err.Error()
}

// Unwrap returns what is wrong with the line.
func (e *LineError) Unwrap() error { return e.Err }

// FieldError names the field of a line that is wrong.
type FieldError struct {
	Field string
	Err   error
}

// Error implements error.
func (e *FieldError) Error() string { return "field " + e.Field + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the field.
func (e *FieldError) Unwrap() error { return e.Err }

// InstanceError wraps what is wrong with the message's instance.
func (m *Message) InstanceError(err error) error {
	return &LineError{Line: m.Line, Err: &FieldError{fieldInstance, err}}
}

// SettingsError wraps what is wrong with the settings of a Create.
func (m *Message) SettingsError(err error) error {
	return m.fieldError(messageCreate, fieldSettings, err)
}

// ClassError wraps what is wrong with the class of an Arrival.
func (m *Message) ClassError(err error) error { return m.fieldError(messageArrival, fieldClass, err) }

// TenantError wraps what is wrong with the tenant of an Arrival.
func (m *Message) TenantError(err error) error { return m.fieldError(messageArrival, fieldTenant, err) }

func (m *Message) fieldError(message, field string, err error) error {
	return &LineError{Line: m.Line, Message: message, Err: &FieldError{field, err}}
}
