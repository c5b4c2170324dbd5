package storeadmin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/cluster/watch"
)

const watcherSlow = 5 * time.Second // a write that takes longer ends the stream

// watchPage bounds what one watcher takes at a time, and so what it holds.
var watchPage = watch.Page{MaxRevisions: 512, MaxBytes: 64 << 10}

// watch streams the changes under a prefix as server-sent events, from a revision on
// or else from now. Each event is one revision: its id is where to go on after it.
func (a *admin) watch(w http.ResponseWriter, r *http.Request) {
	prefix, text := r.URL.Query().Get("prefix"), r.URL.Query().Get("from")
	from, err := uint64(0), error(nil)
	if last := r.Header.Get(storeapi.HeaderLastEventID); last != "" {
		from, err = strconv.ParseUint(last, 10, 63)
		from++
	} else if text != "" {
		from, err = strconv.ParseUint(text, 10, 64)
	}
	if err != nil || len(prefix) > kv.MaxKeyBytes {
		fail(w, fmt.Errorf("%w: from: want the number of a revision; prefix: at most %d bytes", kv.ErrInvalidRequest, kv.MaxKeyBytes))
		return
	}
	select { // guards the memory and the descriptors
	case a.watchers <- struct{}{}:
		defer func() { <-a.watchers }()
	default:
		unavailable(w, fmt.Errorf("%d watchers already", watchersMost))
		return
	}
	if from == 0 {
		if !a.fresh(w, r) { // now is after all that was acknowledged
			return
		}
		at := a.store.AppliedRevision()
		from = at + 1
	}
	s := &stream{w: w, out: http.NewResponseController(w)}
	s.out.SetReadDeadline(time.Time{}) // the server's is for requests that end
	a.stream(r.Context(), s, from, prefix)
}

// stream sends what comes until the watcher is gone, too slow or too far behind.
func (a *admin) stream(ctx context.Context, s *stream, from uint64, prefix string) {
	quiet := time.NewTicker(storeapi.WatchProgressInterval)
	defer quiet.Stop()
	told := from // the position that the watcher knows of
	s.progress(from)
	for {
		list, next, more, err := a.store.RevisionsSince(from, prefix, watchPage)
		var gone *watch.CompactedError
		if errors.As(err, &gone) {
			s.compacted(gone.OldestRevision)
			return
		}
		for _, rev := range list {
			s.event("change", rev.Number, rev)
			told = rev.Number + 1
		}
		if !s.flush() {
			return
		}
		if next > from {
			from = next
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-more:
		case <-quiet.C:
			if from > told { // what came belongs to others
				told = from
				s.progress(from)
			} else {
				s.buf.WriteString(":\n\n")
			}
		}
	}
}

// stream is one watcher's answer.
type stream struct {
	w     http.ResponseWriter
	out   *http.ResponseController
	buf   bytes.Buffer
	begun bool
}

func (s *stream) event(kind string, id uint64, data any) {
	text, _ := json.Marshal(data) // what came out of JSON goes into it
	fmt.Fprintf(&s.buf, "id: %d\nevent: %s\ndata: %s\n\n", id, kind, text)
}

// progress tells a position, so that the watcher can go on from it elsewhere.
func (s *stream) progress(next uint64) {
	s.event("progress", next-1, struct {
		Revision uint64 `json:"revision"`
	}{next - 1})
}

// compacted tells that the position is gone: as the answer, or in the middle.
func (s *stream) compacted(oldest uint64) {
	body := storeapi.CompactedResponse{Error: "compacted", OldestRevision: oldest}
	if s.begun {
		text, _ := json.Marshal(body)
		fmt.Fprintf(&s.buf, "event: compacted\ndata: %s\n\n", text)
		s.flush()
		return
	}
	s.w.Header().Set("Content-Type", "application/json")
	s.w.WriteHeader(http.StatusGone)
	json.NewEncoder(s.w).Encode(body)
}

// flush sends what is written. Guards against a watcher that does not read: it holds
// one page, and is cut off.
func (s *stream) flush() bool {
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
	} else if s.buf.Len() == 0 {
		return true
	}
	s.out.SetWriteDeadline(time.Now().Add(watcherSlow))
	_, err := s.w.Write(s.buf.Bytes())
	if s.buf.Reset(); s.buf.Cap() > 4*watchPage.MaxBytes {
		s.buf = bytes.Buffer{}
	}
	return errors.Join(err, s.out.Flush()) == nil
}
