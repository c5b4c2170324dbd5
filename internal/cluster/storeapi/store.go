package storeapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"oxbowbridge/internal/cluster/kv"
)

// RestoreResponse is the answer to POST /restore.
type RestoreResponse struct {
	SourceCluster string `json:"from"` // id of the cluster that the backup was taken from
	Cluster       string `json:"cluster"`
	Keys          int    `json:"keys"`
	SHA256        string `json:"sha256"` // of the backup
}

// EventType is the type of a server-sent event of GET /watch.
type EventType string

// Types of events of a watch.
const (
	EventChange    EventType = "change"    // a watch.Revision; the event's id is its number
	EventProgress  EventType = "progress"  // the revision up to which nothing more is to come
	EventCompacted EventType = "compacted" // a CompactedResponse, after which the stream ends
)

// CompactedCode is the error code of a CompactedResponse.
const CompactedCode = "compacted"

// CompactedResponse is the answer to GET /watch from a revision that is not available any more.
type CompactedResponse struct {
	Error          string `json:"error"` // CompactedCode
	OldestRevision uint64 `json:"oldest"`
}

// StatusError is an answer that is not a success.
type StatusError struct {
	StatusCode int
	Text       string // the answer's body
}

func (e *StatusError) Error() string { return fmt.Sprintf("%s (%d)", e.Text, e.StatusCode) }

// NewStatusError returns a *StatusError of an answer's status code and body.
func NewStatusError(code int, body []byte) error {
	return &StatusError{code, string(bytes.TrimSpace(body))}
}

// FormatETag returns a revision as an entity tag.
func FormatETag(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }

// ParseETag returns the revision of an entity tag. Its error wraps kv.ErrInvalidRequest.
func ParseETag(text string) (uint64, error) {
	inner, opened := strings.CutPrefix(text, `"`)
	inner, closed := strings.CutSuffix(inner, `"`)
	revision, err := strconv.ParseUint(inner, 10, 64)
	if !opened || !closed || err != nil || revision == 0 {
		return 0, fmt.Errorf("%w: %q is no tag of a revision", kv.ErrInvalidRequest, text)
	}
	return revision, nil
}

// WriteJSON answers with a value as JSON.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
