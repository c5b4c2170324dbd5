package diskidentity

import "cmp"

// Watermark is how far a disk has come. As long as a disk keeps its identity, no part of its
// watermark goes back: a log is truncated only where entries of a higher term follow.
type Watermark struct {
	Starts    uint64 `json:"starts"`     // how often the folder was opened
	Term      uint64 `json:"term"`       // Raft's current term
	LastTerm  uint64 `json:"last_term"`  // of the log's last entry
	LastIndex uint64 `json:"last_index"` // of the log's last entry
}

// CompareLog is below 0 if the log of m ends before that of other, 0 if they end alike, and above 0
// otherwise.
func (m Watermark) CompareLog(other Watermark) int {
	return cmp.Or(cmp.Compare(m.LastTerm, other.LastTerm), cmp.Compare(m.LastIndex, other.LastIndex))
}

// Behind reports whether a disk at m has forgotten something of what was observed.
func (m Watermark) Behind(observed Watermark) bool {
	return m.Starts < observed.Starts || m.Term < observed.Term || m.CompareLog(observed) < 0
}

// Max is the higher of both in each part; the log's last entry is one part.
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
