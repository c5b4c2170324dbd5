package watch

import (
	"encoding/json"
	"strings"
)

// Change is one key of a revision.
type Change struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value,omitempty"` // none if it was deleted
	Deleted bool            `json:"gone,omitempty"`
}

// Revision is what one log entry changed, all at once.
type Revision struct {
	Number  uint64   `json:"revision"` // the log entry's index
	Changes []Change `json:"changes"`  // sorted by key
}

// changeOverheadBytes is the memory that a change takes beside its key and value.
const changeOverheadBytes = 64

// size returns the memory of a revision in bytes.
func (r Revision) size() int {
	bytes := 0
	for _, c := range r.Changes {
		bytes += len(c.Key) + len(c.Value) + changeOverheadBytes
	}
	return bytes
}

// filter returns the part of a revision whose keys have a prefix.
func (r Revision) filter(prefix string) Revision {
	if prefix == "" {
		return r
	}
	filtered := Revision{Number: r.Number}
	for _, c := range r.Changes {
		if strings.HasPrefix(c.Key, prefix) {
			filtered.Changes = append(filtered.Changes, c)
		}
	}
	return filtered
}
