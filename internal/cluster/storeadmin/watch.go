package storeadmin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/cluster/watch"
)

// watchPage limits the revisions that are read for one watcher at a time, and so the memory that it uses.
var watchPage = watch.PageLimits{MaxRevisions: 512, MaxBytes: 64 << 10}

// watch serves GET /watch?prefix=P&from=REVISION: a stream of server-sent events with the changes to keys
// with a prefix. It starts after the revision in the Last-Event-ID header, at the revision from, or, without
// either, after the current revision. Each event is one revision and has its number as id, so that a client
// can resume after it.
func (s *server) watch(w http.ResponseWriter, r *http.Request) error {
	prefix := r.URL.Query().Get("prefix")
	from, err := parsePosition(r)
	if err != nil || len(prefix) > kv.MaxKeyBytes {
		return fmt.Errorf("%w: from: want the number of a revision; prefix: at most %d bytes", kv.ErrInvalidRequest, kv.MaxKeyBytes)
	}
	if !s.watcherSlots.tryAcquire() {
		return unavailable(fmt.Errorf("%d watchers already", maxWatchers))
	}
	defer s.watcherSlots.release()
	if from == 0 {
		if err := s.waitFresh(w, r); err != nil { // the watch must start after all acknowledged writes
			return err
		}
		from = s.store.AppliedRevision() + 1
	}
	stream := newEventStream(w)
	stream.responseController.SetReadDeadline(time.Time{}) // readTimeout would end the stream
	s.streamChanges(r.Context(), stream, from, prefix)
	return nil
}

// parsePosition returns the revision to watch from; 0 means after the current revision.
func parsePosition(r *http.Request) (uint64, error) {
	if last := r.Header.Get(storeapi.HeaderLastEventID); last != "" {
		revision, err := strconv.ParseUint(last, 10, 63)
		return revision + 1, err
	}
	if from := r.URL.Query().Get("from"); from != "" {
		return strconv.ParseUint(from, 10, 64)
	}
	return 0, nil
}

// streamChanges sends changes until the watcher disconnects, reads too slowly, or falls behind the compaction.
func (s *server) streamChanges(ctx context.Context, stream *eventStream, from uint64, prefix string) {
	progress := time.NewTicker(storeapi.WatchProgressInterval)
	defer progress.Stop()
	announced := from // the position last sent to the watcher
	stream.writeProgress(from)
	for {
		revisions, next, newRevisions, err := s.store.RevisionsSince(from, prefix, watchPage)
		var compacted *watch.CompactedError
		if errors.As(err, &compacted) {
			stream.writeCompacted(compacted.OldestRevision)
			return
		}
		for _, revision := range revisions {
			stream.writeEvent(storeapi.EventChange, revision.Number, revision)
			announced = revision.Number + 1
		}
		if !stream.flush() {
			return
		}
		if next > from {
			from = next
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-newRevisions:
		case <-progress.C:
			if from > announced { // all revisions since announced changed only keys without the prefix
				announced = from
				stream.writeProgress(from)
			} else {
				stream.writeKeepAlive()
			}
		}
	}
}
