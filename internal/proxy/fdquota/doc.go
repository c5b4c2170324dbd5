// Package fdquota divides a process's file descriptors among callers, calls to the records service,
// and closing connections, so that callers can't use up the descriptors that the service itself
// needs. It does no I/O.
package fdquota
