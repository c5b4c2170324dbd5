package sitesettings

import (
	"errors"
	"fmt"
)

// ErrUnknownValue means that a setting has an unknown enum value.
var ErrUnknownValue = errors.New("unknown value")

// SettingError reports a setting whose value is missing or out of range.
type SettingError struct {
	Key   string // path of JSON keys, such as classes.0.aim_ns
	Value float64
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("%s: %g is missing or out of range", e.Key, e.Value)
}

// TypeError reports a JSON field whose value has the wrong type.
type TypeError struct {
	Field string // path of JSON keys
	Want  string // Go type
	Got   string // JSON type
}

// Error implements error.
func (e *TypeError) Error() string {
	return fmt.Sprintf("%s: want %s, not %s", e.Field, e.Want, e.Got)
}
