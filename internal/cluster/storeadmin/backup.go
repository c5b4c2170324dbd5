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

// getBackup serves GET /backup: a backup of all keys except the reserved ones, at one revision.
func (s *server) getBackup(w http.ResponseWriter, r *http.Request) error {
	if err := s.waitFresh(w, r); err != nil {
		return err
	}
	cluster := s.store.ClusterID()
	if cluster == "" {
		return unavailable(errors.New("the cluster has no id yet"))
	}
	entries, revision := s.store.Entries()
	header := backup.Header{
		Cluster:         cluster,
		Revision:        revision,
		TimeMS:          time.Now().UnixMilli(),
		MaxFencingToken: s.store.LastFencingToken(),
	}
	var buffer bytes.Buffer
	if _, err := backup.Write(&buffer, header, backupEntries(entries)); err != nil {
		return withStatus(http.StatusInternalServerError, err)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(buffer.Bytes())
	return nil
}

// backupEntries returns the entries to back up, sorted by key.
func backupEntries(entries map[string]kv.Entry) (list []backup.Entry) {
	for key, e := range entries {
		if !strings.HasPrefix(key, kv.ReservedPrefix) {
			list = append(list, backup.Entry{Key: key, Revision: e.ModRevision, Value: e.Value})
		}
	}
	slices.SortFunc(list, func(a, b backup.Entry) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// restore serves POST /restore, which restores a backup into an empty store of another cluster. An
// interrupted restore continues when the request is sent again. Until the restore is complete, the store
// serves local reads only (see waitFresh). DELETE /restore empties a store whose restore was interrupted.
func (s *server) restore(w http.ResponseWriter, r *http.Request) error {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(storeapi.RestoreTimeout))
	const maxBytes = backup.MaxBytes + 1<<10 // includes the header
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		return withStatus(http.StatusBadRequest, err)
	}
	if done, err := s.forwardOnce(w, r, body); done || err != nil { // the client retries
		return err
	}
	if !s.restoreLock.TryLock() {
		return unavailable(errors.New("a backup is being put back"))
	}
	defer s.restoreLock.Unlock()
	if r.Method == http.MethodDelete {
		return writeNoContent(w, s.store.UndoRestore(r.Context()))
	}
	return s.restoreBackup(w, r, body)
}

// restoreBackup decodes a backup and restores it into this node's store.
func (s *server) restoreBackup(w http.ResponseWriter, r *http.Request, body []byte) error {
	header, entries, err := backup.Read(bytes.NewReader(body))
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
