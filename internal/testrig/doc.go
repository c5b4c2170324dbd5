// Package testrig runs clusters of oxbowbridge processes for process tests and benchmarks, and injects
// faults into them. It cuts, stalls, delays, throttles and heals the network links between processes. It
// kills, pauses and resumes processes. It removes and restores store directories, or makes their file
// operations fail. A schedule of such faults is generated from a seed.
//
// The package also has two checkers: a history of operations that must be linearizable, and a resource
// that only one lease holder at a time may act on. The addresses that the package hands out are reserved
// against other test processes.
//
// A [Cluster] belongs to the goroutine of its test. [Link], [Resource], [History] and
// [Prober] may be used from several goroutines; each guards its state with a mutex. A
// condition that is not met in time fails the test through [T].
package testrig
