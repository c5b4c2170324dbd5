package simproto

import (
	"errors"
	"strconv"

	"oxbowbridge/internal/sitesettings"
)

// Errors in the input. They are wrapped in a LineError and, if they concern a field, a FieldError.
var (
	// ErrMissing means that a required field is missing.
	ErrMissing = errors.New("missing")
	// ErrOutOfRange means that a value is not a number or is out of range.
	ErrOutOfRange = errors.New("not a number or out of range")
	// ErrUnknownValue means that an enum value, in a field or in the settings, is unknown.
	ErrUnknownValue = sitesettings.ErrUnknownValue
	// ErrNotBool means that the value of a Boolean field is neither 0 nor 1.
	ErrNotBool = errors.New("want 0 or 1")
	// ErrMalformedField means that a part of a line does not have the form name=value.
	ErrMalformedField = errors.New("want name=value")
	// ErrOutsideBatch means that a message was read where the TICK of a batch was expected.
	ErrOutsideBatch = errors.New("outside a batch, want " + messageBatchStart)
	// ErrInsideBatch means that a TICK was read before the end of the current batch.
	ErrInsideBatch = errors.New("inside a batch")
	// ErrNoInstance means that a message was read before the first ABOUT of its batch.
	ErrNoInstance = errors.New("no " + messageInstance + " line before this message")
)

// LineError is an error in one line of the input.
type LineError struct {
	Line    int    // line number, starting at 1
	Message string // name of the message; empty if the error does not concern a particular message
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

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// FieldError is an error in one field of a line.
type FieldError struct {
	Field string
	Err   error
}

// Error implements error.
func (e *FieldError) Error() string { return "field " + e.Field + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// InstanceError returns a LineError for the instance of the message.
func (m *Message) InstanceError(err error) error {
	return &LineError{Line: m.Line, Err: &FieldError{fieldInstance, err}}
}

// SettingsError returns a LineError for the settings of a CREATE message.
func (m *Message) SettingsError(err error) error {
	return m.fieldError(messageCreate, fieldSettings, err)
}

// ClassError returns a LineError for the class of an arrival.
func (m *Message) ClassError(err error) error { return m.fieldError(messageArrival, fieldClass, err) }

// TenantError returns a LineError for the tenant of an arrival.
func (m *Message) TenantError(err error) error { return m.fieldError(messageArrival, fieldTenant, err) }

func (m *Message) fieldError(message, field string, err error) error {
	return &LineError{Line: m.Line, Message: message, Err: &FieldError{field, err}}
}
