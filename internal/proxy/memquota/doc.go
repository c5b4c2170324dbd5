// Package memquota limits the memory that many holders, such as the connections of callers, use together.
// If the quota is exceeded, the largest holders have to release their memory, so that a few large holders, or a
// crowd of them, can't take the memory of the small ones. It does no I/O and has no clock.
package memquota
