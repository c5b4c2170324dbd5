// Package fdquota divides a process's file descriptors among callers, calls to the records
// service and closing connections, so that callers can't take those that the service needs
// for itself. It does no I/O.
package fdquota
