package storeadmin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"oxbowbridge/internal/cluster/backup"
	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/cluster/storeapi"
)

// takeBackup serves GET /backup: all keys but the reserved ones, as they were at one revision.
func (s *server) takeBackup(w http.ResponseWriter, r *http.Request) error {
	if err := s.waitFresh(w, r); err != nil {
		return err
	}
	cluster := s.store.ClusterID()
	if cluster == "" {
		return unavailable(errors.New("the cluster has no id yet"))
	}
	entries, revision := s.store.Entries()
	header := backup.Header{
		Cluster:  cluster,
		Revision: revision,
		TimeMS:   time.Now().UnixMilli(),
		Token:    s.store.LastFencingToken(),
	}
	var text bytes.Buffer
	if _, err := backup.Write(&text, header, backupEntries(entries)); err != nil {
		return withStatus(http.StatusInternalServerError, err)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(text.Bytes())
	return nil
}

func backupEntries(entries map[string]kv.Entry) (list []backup.Entry) {
	for key, e := range entries {
		if !strings.HasPrefix(key, kv.ReservedPrefix) {
			list = append(list, backup.Entry{Key: key, Revision: e.ModRevision, Value: e.Value})
		}
	}
	slices.SortFunc(list, func(a, b backup.Entry) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// restore serves POST /restore: it restores a backup into an empty store of another cluster. One that
// was interrupted continues when it is requested again; until it is complete, nothing but local reads
// is possible (see waitFresh). DELETE /restore empties a store in which one was interrupted.
func (s *server) restore(w http.ResponseWriter, r *http.Request) error {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(storeapi.RestoreTimeout))
	const maxBytes = backup.MaxBytes + 1<<10 // with the header
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		return withStatus(http.StatusBadRequest, err)
	}
	if done, err := s.forwardOnce(w, r, text); done || err != nil { // the caller repeats it
		return err
	}
	if !s.restoreLock.TryLock() {
		return unavailable(errors.New("a backup is being put back"))
	}
	defer s.restoreLock.Unlock()
	if r.Method == http.MethodDelete {
		return noContent(w, s.store.UndoRestore(r.Context()))
	}
	return s.restoreBackup(w, r, text)
}

func (s *server) restoreBackup(w http.ResponseWriter, r *http.Request, text []byte) error {
	header, entries, err := backup.Read(bytes.NewReader(text))
	if err != nil {
		return withStatus(http.StatusBadRequest, err)
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeapi.RestoreTimeout)
	defer cancel()
	restored, err := s.store.Restore(ctx, header, entries)
	switch {
	case errors.Is(err, store.ErrNotEmpty):
		return withStatus(http.StatusConflict, err)
	case err != nil:
		return err
	}
	storeapi.WriteJSON(w, restored)
	return nil
}
