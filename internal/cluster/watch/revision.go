package watch

import (
	"encoding/json"
	"strings"
)

// Change is the new value, or the deletion, of one key in a revision.
type Change struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value,omitempty"` // nil if the key was deleted
	Deleted bool            `json:"gone,omitempty"`
}

// Revision contains all changes of one log entry, which take effect atomically.
type Revision struct {
	Number  uint64   `json:"revision"` // index of the log entry
	Changes []Change `json:"changes"`  // sorted by key
}

// changeOverheadBytes is the approximate memory use of a change without its key and value.
const changeOverheadBytes = 64

// size returns the approximate memory use of a revision in bytes.
func (r Revision) size() int {
	bytes := 0
	for _, c := range r.Changes {
		bytes += len(c.Key) + len(c.Value) + changeOverheadBytes
	}
	return bytes
}

// filter returns the revision with only the changes of keys with the given prefix.
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
