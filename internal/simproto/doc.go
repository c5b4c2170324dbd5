// Package simproto implements the simulator's line protocol: it parses batches of events for many
// admission controllers and formats the controllers' actions.
//
// A line consists of a message name and name=value fields, separated by tabs. A batch starts with
// TICK, which contains the clock time, and ends with EOF_BATCH. An ABOUT line names the instance to
// which the messages after it belong. Unknown messages, fields and settings are ignored. The error for
// a malformed line contains the line number and the field; see [LineError] and [FieldError].
//
// The protocol's names differ from the terms of package admission; terms.go defines all of them. The
// settings in a CREATE message have the format of package sitesettings.
package simproto
