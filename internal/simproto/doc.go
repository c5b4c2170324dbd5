// Package simproto is the line protocol of the simulator: it reads batches of
// events for many controllers and prints their actions. It decides nothing.
//
// A line is a message name and name=value fields, set apart by tabs. A batch
// begins with TICK, which carries the clock time, and ends with EOF_BATCH; an
// ABOUT line names the instance of the messages after it. Unknown messages,
// fields and settings are skipped; a malformed line is reported with its number
// and field, see [LineError] and [FieldError].
//
// The protocol has words of its own for the terms of package admission; in this
// package they appear in terms.go alone. The settings of a CREATE are those of
// package sitesettings.
package simproto
