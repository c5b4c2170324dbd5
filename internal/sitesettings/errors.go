package sitesettings

import (
	"errors"
	"fmt"
)

// ErrUnknownWord means that a word of an enumeration is not known.
var ErrUnknownWord = errors.New("unknown word")

// SettingError names a setting whose value is missing or out of range.
type SettingError struct {
	Key   string // path of JSON keys, such as classes.0.aim_ns
	Value float64
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("%s: %g is missing or impossible", e.Key, e.Value)
}

// TypeError names a JSON field whose value has the wrong type.
type TypeError struct {
	Field string // path of JSON keys
	Want  string // Go type
	Got   string // JSON type
}

// Error implements error.
func (e *TypeError) Error() string {
	return fmt.Sprintf("%s: want %s, not %s", e.Field, e.Want, e.Got)
}
