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

// backup answers with all keys as they were at one revision.
func (a *admin) backup(w http.ResponseWriter, r *http.Request) {
	if !a.fresh(w, r) {
		return
	}
	if a.store.ClusterID() == "" {
		unavailable(w, errors.New("the cluster has no id yet"))
		return
	}
	entries, revision := a.store.Entries()
	var keys []backup.Entry
	for key, e := range entries {
		if !strings.HasPrefix(key, kv.ReservedPrefix) {
			keys = append(keys, backup.Entry{Key: key, Revision: e.ModRevision, Value: e.Value})
		}
	}
	slices.SortFunc(keys, func(a, b backup.Entry) int { return strings.Compare(a.Key, b.Key) })
	var text bytes.Buffer
	if _, err := backup.Write(&text, backup.Header{Cluster: a.store.ClusterID(), Revision: revision, TimeMS: time.Now().UnixMilli(),
		Token: a.store.LastToken()}, keys); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(text.Bytes())
}

// restore puts a backup back into an empty store of another cluster. One that was cut
// off goes on when it is asked for again; until it is done, nothing is read or written.
func (a *admin) restore(w http.ResponseWriter, r *http.Request) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(storeapi.RestoreTimeout))
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, backup.MaxBytes+1<<10))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if a.passOn(w, r, text, false) { // who asks goes on with it
		return
	}
	if !a.restoring.TryLock() {
		unavailable(w, errors.New("a backup is being put back"))
		return
	}
	defer a.restoring.Unlock()
	if r.Method == http.MethodDelete {
		if err := a.store.UndoRestore(r.Context()); err != nil {
			fail(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	head, keys, err := backup.Read(bytes.NewReader(text))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeapi.RestoreTimeout)
	defer cancel()
	switch out, err := a.store.Restore(ctx, head, keys); {
	case errors.Is(err, store.ErrNotEmpty):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		fail(w, err)
	default:
		storeapi.WriteJSON(w, out)
	}
}
