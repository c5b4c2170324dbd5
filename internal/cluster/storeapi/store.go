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

// RestoreResponse is the response to POST /restore.
type RestoreResponse struct {
	SourceCluster string `json:"from"` // id of the cluster that the backup was taken from
	Cluster       string `json:"cluster"`
	Keys          int    `json:"keys"`
	SHA256        string `json:"sha256"` // checksum of the backup
}

// EventType is the type of a server-sent event in the stream of GET /watch.
type EventType string

// Event types of a watch stream.
const (
	EventChange    EventType = "change"    // data: a watch.Revision; id: its number
	EventProgress  EventType = "progress"  // id: the revision up to which all changes have been sent
	EventCompacted EventType = "compacted" // data: a CompactedResponse; last event of the stream
)

// CompactedCode is the error code of a CompactedResponse.
const CompactedCode = "compacted"

// CompactedResponse is the response to GET /watch if the requested revision is no longer available.
type CompactedResponse struct {
	Error          string `json:"error"` // always CompactedCode
	OldestRevision uint64 `json:"oldest"`
}

// StatusError is an HTTP response with an error status.
type StatusError struct {
	StatusCode int
	Text       string // response body
}

func (e *StatusError) Error() string { return fmt.Sprintf("%s (%d)", e.Text, e.StatusCode) }

// NewStatusError returns a *StatusError for the status code and body of a response.
func NewStatusError(code int, body []byte) error {
	return &StatusError{code, string(bytes.TrimSpace(body))}
}

// FormatETag formats a revision as an entity tag.
func FormatETag(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }

// ParseETag parses an entity tag that FormatETag returned. The error wraps kv.ErrInvalidRequest.
func ParseETag(text string) (uint64, error) {
	digits, hasOpeningQuote := strings.CutPrefix(text, `"`)
	digits, hasClosingQuote := strings.CutSuffix(digits, `"`)
	revision, err := strconv.ParseUint(digits, 10, 64)
	if !hasOpeningQuote || !hasClosingQuote || err != nil || revision == 0 {
		return 0, fmt.Errorf("%w: %q is no tag of a revision", kv.ErrInvalidRequest, text)
	}
	return revision, nil
}

// WriteJSON writes a value as the JSON body of a response.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
