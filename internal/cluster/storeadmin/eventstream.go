package storeadmin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"oxbowbridge/internal/cluster/storeapi"
)

const (
	// watcherWriteTimeout limits one write. A watcher that does not read is disconnected after it, and uses the
	// memory of at most one page until then.
	watcherWriteTimeout = 5 * time.Second
	// maxIdleBufferPages is the largest buffer, in pages, that a stream keeps between two writes.
	maxIdleBufferPages = 4
)

// eventStream is the response to one watcher: a stream of server-sent events.
type eventStream struct {
	writer             http.ResponseWriter
	responseController *http.ResponseController
	buffer             bytes.Buffer
	started            bool // the header has been sent
}

func newEventStream(w http.ResponseWriter) *eventStream {
	return &eventStream{writer: w, responseController: http.NewResponseController(w)}
}

// writeEvent adds an event to the buffer. flush sends the buffer.
func (s *eventStream) writeEvent(eventType storeapi.EventType, id uint64, data any) {
	text, _ := json.Marshal(data) // values in the store are JSON
	fmt.Fprintf(&s.buffer, "id: %d\nevent: %s\ndata: %s\n\n", id, eventType, text)
}

// progressData is the data of storeapi.EventProgress.
type progressData struct {
	Revision uint64 `json:"revision"`
}

// writeProgress writes an event with the revision before next, so that the watcher can continue at next on
// another node.
func (s *eventStream) writeProgress(next uint64) {
	s.writeEvent(storeapi.EventProgress, next-1, progressData{Revision: next - 1})
}

// writeKeepAlive writes a server-sent comment, which clients ignore.
func (s *eventStream) writeKeepAlive() { s.buffer.WriteString(":\n\n") }

// writeCompacted reports that the watcher's position has been compacted: as the response, or as the last event
// of a stream that has started.
func (s *eventStream) writeCompacted(oldestRevision uint64) {
	body := storeapi.CompactedResponse{Error: storeapi.CompactedCode, OldestRevision: oldestRevision}
	if s.started {
		text, _ := json.Marshal(body)
		fmt.Fprintf(&s.buffer, "event: %s\ndata: %s\n\n", storeapi.EventCompacted, text)
		s.flush()
		return
	}
	s.writer.Header().Set("Content-Type", "application/json")
	s.writer.WriteHeader(http.StatusGone)
	json.NewEncoder(s.writer).Encode(body)
}

// flush sends the buffer, and reports whether the watcher is still connected.
func (s *eventStream) flush() bool {
	if s.started && s.buffer.Len() == 0 {
		return true
	}
	if !s.started {
		s.started = true
		s.writer.Header().Set("Content-Type", "text/event-stream")
		s.writer.Header().Set("Cache-Control", "no-store")
	}
	s.responseController.SetWriteDeadline(time.Now().Add(watcherWriteTimeout))
	_, err := s.writer.Write(s.buffer.Bytes())
	s.buffer.Reset()
	if s.buffer.Cap() > maxIdleBufferPages*watchPage.MaxBytes {
		s.buffer = bytes.Buffer{}
	}
	return errors.Join(err, s.responseController.Flush()) == nil
}
