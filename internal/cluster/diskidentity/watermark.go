package diskidentity

import "cmp"

// Watermark describes how far the state of a disk has advanced. While a disk keeps its identity, its
// watermark never decreases: a log is truncated only where entries of a higher term follow.
type Watermark struct {
	Starts    uint64 `json:"starts"`     // number of times that the folder was opened
	Term      uint64 `json:"term"`       // Raft's current term
	LastTerm  uint64 `json:"last_term"`  // term of the log's last entry
	LastIndex uint64 `json:"last_index"` // index of the log's last entry
}

// CompareLog compares the last log entries, by term and then by index. It returns a negative number if
// m's is older, 0 if both are equal, and a positive number otherwise.
func (m Watermark) CompareLog(other Watermark) int {
	return cmp.Or(cmp.Compare(m.LastTerm, other.LastTerm), cmp.Compare(m.LastIndex, other.LastIndex))
}

// Behind reports whether a disk at m lacks state that was observed of it, as after a rollback.
func (m Watermark) Behind(observed Watermark) bool {
	return m.Starts < observed.Starts || m.Term < observed.Term || m.CompareLog(observed) < 0
}

// Max returns the maximum of both watermarks for each of the starts, the term and the last log entry.
func (m Watermark) Max(other Watermark) Watermark {
	out := m
	out.Starts = max(m.Starts, other.Starts)
	out.Term = max(m.Term, other.Term)
	if m.CompareLog(other) < 0 {
		out.LastTerm = other.LastTerm
		out.LastIndex = other.LastIndex
	}
	return out
}
