// Package simproto is the line protocol of the simulator: it reads batches of
// events for many controllers and prints their actions. It decides nothing.
//
// A line is a message name and name=value fields, set apart by tabs. A batch
// begins with TICK, which carries the clock time, and ends with EOF_BATCH; an
// ABOUT line names the instance of the messages after it. Unknown messages,
// fields and settings are skipped; a malformed line is reported with its number
// and field, see [LineError] and [FieldError].
//
// The protocol has words of its own for the terms of package admission. In this
// package they appear in terms.go and in the JSON tags of [Settings] alone.
//
// [Settings] is also the type of the service's own settings: the configuration file
// and the store hold the same JSON object as the simulator's CREATE. Packages that
// read a Settings before [Settings.Admission] converts it (cmd/oxbowbridge, and
// transport/ajp for the names of gauges) compare its words themselves.
package simproto
