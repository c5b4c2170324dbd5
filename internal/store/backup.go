package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"oxbowbridge/internal/backup"
	"oxbowbridge/internal/kv"
)

const (
	restoreOps   = kv.Ops / 2 // keys that one entry of the log puts back
	restoreBytes = 256 << 10  // of their values
	restoreTime  = time.Minute
)

// errNotEmpty refuses a restore into a store that is in use.
var errNotEmpty = errors.New("a backup is put back into an empty store only")

// restoredKey tells which backup the store began with.
const restoredKey = kv.Reserved + "restored"

// restored is what a restore came to.
type restored struct {
	From    string `json:"from"` // the cluster that the backup was taken from
	Cluster string `json:"cluster"`
	Keys    int    `json:"keys"`
	SHA256  string `json:"sha256"`
}

// backup answers with all keys as they were at one revision.
func (a *admin) backup(w http.ResponseWriter, r *http.Request) {
	if !a.fresh(w, r) {
		return
	}
	if a.store.cluster.id() == "" {
		unavailable(w, errors.New("the cluster has no id yet"))
		return
	}
	entries, revision := a.store.state.all()
	var keys []backup.Key
	for key, e := range entries {
		if !strings.HasPrefix(key, kv.Reserved) {
			keys = append(keys, backup.Key{Key: key, Revision: e.Index, Value: e.Value})
		}
	}
	slices.SortFunc(keys, func(a, b backup.Key) int { return strings.Compare(a.Key, b.Key) })
	var text bytes.Buffer
	if _, err := backup.Write(&text, backup.Head{Cluster: a.store.cluster.id(), Revision: revision, TimeMS: time.Now().UnixMilli()}, keys); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(text.Bytes())
}

// restore puts a backup back into an empty store of another cluster. One that was cut
// off goes on when it is asked for again; until it is done, nothing is read or written.
func (a *admin) restore(w http.ResponseWriter, r *http.Request) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(restoreTime))
	body := http.MaxBytesReader(w, r.Body, backup.Most+1<<10)
	if a.passOn(w, r, body, a.patient) {
		return
	}
	if !a.restoring.TryLock() {
		unavailable(w, errors.New("a backup is being put back"))
		return
	}
	defer a.restoring.Unlock()
	if r.Method == http.MethodDelete {
		if err := a.store.undoRestore(r.Context()); err != nil {
			fail(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	head, keys, err := backup.Read(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), restoreTime)
	defer cancel()
	switch out, err := a.store.restore(ctx, head, keys); {
	case errors.Is(err, errNotEmpty):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		fail(w, err)
	default:
		answer(w, out)
	}
}

func (s *Store) restore(ctx context.Context, head backup.Head, keys []backup.Key) (restored, error) {
	if _, err := s.fresh(ctx, Freshness{}); err != nil {
		return restored{}, err
	}
	own := s.cluster.id()
	switch {
	case own == "":
		return restored{}, errors.New("the cluster has no id yet")
	case own == head.Cluster:
		return restored{}, fmt.Errorf("%w: this is the cluster that it was taken from", errNotEmpty)
	}
	var out restored
	if e, ok := s.state.get(restoredKey); ok && json.Unmarshal(e.Value, &out) == nil && out.SHA256 == head.SHA256 {
		return out, nil // asked for again, as the answer was lost
	}
	marker, err := s.markRestore(ctx, head.SHA256)
	if err != nil {
		return restored{}, err
	}
	out = restored{From: head.Cluster, Cluster: own, SHA256: head.SHA256}
	part, size := kv.Request{}, 0
	flush := func(last bool) error {
		part.If = []kv.Compare{{Key: kv.RestoreKey, Revision: marker}}
		if last {
			text, _ := json.Marshal(out)
			part.Then = append(part.Then, kv.Op{Do: "delete", Key: kv.RestoreKey}, kv.Op{Do: "put", Key: restoredKey, Value: text})
		}
		got, err := s.Do(part)
		if err == nil && !got.Held {
			err = errors.New("another restore has taken its place")
		}
		part, size = kv.Request{}, 0
		return errors.Join(err, ctx.Err())
	}
	for _, k := range keys {
		if !kv.Users(k.Key) {
			continue // what the old services said of themselves
		}
		part.Then = append(part.Then, kv.Op{Do: "put", Key: k.Key, Value: k.Value})
		size += len(k.Value)
		if out.Keys++; len(part.Then) >= restoreOps || size >= restoreBytes {
			if err := flush(false); err != nil {
				return restored{}, err
			}
		}
	}
	if err := flush(true); err != nil {
		return restored{}, err
	}
	return out, nil
}

// undoRestore empties a store in which a restore was cut off, and opens it again.
func (s *Store) undoRestore(ctx context.Context) error {
	if _, err := s.fresh(ctx, Freshness{}); err != nil {
		return err
	}
	entries, _ := s.state.all()
	marker, ok := entries[kv.RestoreKey]
	if !ok {
		return fmt.Errorf("%w: no backup is being put back", kv.ErrRequest)
	}
	part := kv.Request{If: []kv.Compare{{Key: kv.RestoreKey, Revision: marker.Index}}}
	for key := range entries {
		// A marker of its first version was put before anybody looked what there was.
		if marker.Version > 1 && kv.Users(key) {
			part.Then = append(part.Then, kv.Op{Do: "delete", Key: key})
		}
		if len(part.Then) == restoreOps {
			if _, err := s.Do(part); err != nil {
				return err
			}
			part.Then = nil
		}
	}
	part.Then = append(part.Then, kv.Op{Do: "delete", Key: kv.RestoreKey})
	_, err := s.Do(part)
	return err
}

// markRestore shuts the store for all but one backup, if it is empty or was shut for
// the same one.
func (s *Store) markRestore(ctx context.Context, sum string) (revision uint64, err error) {
	value, _ := json.Marshal(sum)
	_, err = s.Do(kv.Request{If: []kv.Compare{{Key: kv.RestoreKey}},
		Then: []kv.Op{{Do: "put", Key: kv.RestoreKey, Value: value}}})
	if err == nil {
		_, err = s.fresh(ctx, Freshness{}) // all that was written before is known
	}
	if err != nil {
		return 0, err
	}
	entries, _ := s.state.all()
	m, ok := entries[kv.RestoreKey]
	if !ok || !bytes.Equal(m.Value, value) {
		return 0, fmt.Errorf("%w: another backup is being put back", errNotEmpty)
	}
	if m.Version > 1 {
		return m.Index, nil
	}
	used := 0
	for key := range entries {
		if kv.Users(key) {
			used++
		}
	}
	if used > 0 {
		_, err = s.Do(kv.Request{Then: []kv.Op{{Do: "delete", Key: kv.RestoreKey}}})
		return 0, errors.Join(fmt.Errorf("%w: it has %d keys", errNotEmpty, used), err)
	}
	// A second version of the marker says that the store was empty: from here on, what
	// is in it is of this backup.
	got, err := s.Do(kv.Request{If: []kv.Compare{{Key: kv.RestoreKey, Revision: m.Index}},
		Then: []kv.Op{{Do: "put", Key: kv.RestoreKey, Value: value}}})
	if err == nil && !got.Held {
		err = errors.New("another restore has taken its place")
	}
	if err != nil {
		return 0, err
	}
	return got.Results[0].Revision, nil
}

// Backup reads a backup, and gives it only if it is whole.
func (c *Client) Backup(ctx context.Context) (backup.Head, []byte, error) {
	res, text, err := c.do(ctx, http.MethodGet, "/backup", nil)
	if err != nil {
		return backup.Head{}, nil, err
	}
	if res.StatusCode != http.StatusOK {
		return backup.Head{}, nil, statusError(res.StatusCode, text)
	}
	head, _, err := backup.Read(bytes.NewReader(text))
	return head, text, err
}

// Restored is what Restore did.
type Restored = restored

// Restore puts a backup back. It may be asked for again until it is done.
func (c *Client) Restore(ctx context.Context, r io.Reader) (out Restored, err error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return out, err
	}
	if _, _, err := backup.Read(bytes.NewReader(text)); err != nil {
		return out, err // without a word to anybody
	}
	slow := *c
	slow.HTTP = &http.Client{Transport: c.HTTP.Transport, Timeout: restoreTime}
	return out, slow.ask(ctx, http.MethodPost, "/restore", text, &out)
}

// UndoRestore empties a store in which a restore was cut off.
func (c *Client) UndoRestore(ctx context.Context) error {
	res, text, err := c.do(ctx, http.MethodDelete, "/restore", nil)
	if err == nil && res.StatusCode >= 300 {
		err = statusError(res.StatusCode, text)
	}
	return err
}
