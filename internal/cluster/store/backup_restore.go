package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"oxbowbridge/internal/cluster/backup"
	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/storeapi"
)

const (
	maxRestoreOps   = kv.MaxOps / 2 // keys that one log entry restores
	maxRestoreBytes = 256 << 10     // of their values
	// restoredKey has which backup the store began with, as a storeapi.RestoreResponse.
	restoredKey = kv.ReservedPrefix + "restored"
)

var errNoClusterID = errors.New("the cluster has no id yet")

// Restore writes a backup into the empty store of another cluster. It returns ErrNoLeader on any node
// but the leader. Until it is complete the store admits no other write. A retry with the same backup
// goes on, or has the answer of the one that was complete.
func (s *Store) Restore(ctx context.Context, header backup.Header, entries []backup.Entry) (storeapi.RestoreResponse, error) {
	if _, err := s.WaitFresh(ctx, Freshness{}); err != nil {
		return storeapi.RestoreResponse{}, err
	}
	clusterID := s.clusterID.get()
	switch clusterID {
	case "":
		return storeapi.RestoreResponse{}, errNoClusterID
	case header.Cluster:
		return storeapi.RestoreResponse{}, fmt.Errorf("%w: this is the cluster that it was taken from", ErrNotEmpty)
	}
	if earlier, ok := s.earlierRestore(); ok && earlier.SHA256 == header.SHA256 {
		return earlier, nil
	}
	marker, err := s.beginRestore(ctx, header.SHA256)
	if err != nil {
		return storeapi.RestoreResponse{}, err
	}
	run := &restoreRun{
		store:  s,
		marker: marker,
		header: header,
		result: storeapi.RestoreResponse{SourceCluster: header.Cluster, Cluster: clusterID, SHA256: header.SHA256},
	}
	if err := run.write(ctx, entries); err != nil {
		return storeapi.RestoreResponse{}, err
	}
	return run.result, nil
}

// earlierRestore is the answer to the restore that the store began with.
func (s *Store) earlierRestore() (out storeapi.RestoreResponse, ok bool) {
	e, ok := s.state.get(restoredKey)
	return out, ok && json.Unmarshal(e.Value, &out) == nil
}

// restoreRun writes a backup in batches, each a log entry that holds under the restore's marker.
type restoreRun struct {
	store  *Store
	marker uint64 // revision of kv.RestoreKey
	header backup.Header
	batch  []kv.Op
	bytes  int // of the batch's values
	result storeapi.RestoreResponse
}

func (r *restoreRun) write(ctx context.Context, entries []backup.Entry) error {
	for _, e := range entries {
		if !kv.IsUserKey(e.Key) {
			continue // state that the old cluster's services published
		}
		r.batch = append(r.batch, kv.Put(e.Key, e.Value))
		r.bytes += len(e.Value)
		r.result.Keys++
		if len(r.batch) < maxRestoreOps && r.bytes < maxRestoreBytes {
			continue
		}
		if err := r.flush(ctx); err != nil {
			return err
		}
	}
	return r.finish(ctx)
}

// finish admits other writes again, and notes the result.
func (r *restoreRun) finish(ctx context.Context) error {
	text, err := json.Marshal(r.result)
	if err != nil {
		return err
	}
	r.batch = append(r.batch, kv.Delete(kv.RestoreMarkerKey), kv.Put(restoredKey, text))
	return r.flush(ctx)
}

func (r *restoreRun) flush(ctx context.Context) error {
	response, err := r.store.Execute(kv.Request{
		TokenFloor: tokenFloor(r.header.MaxFencingToken),
		If:         []kv.Compare{{Key: kv.RestoreMarkerKey, Revision: r.marker}},
		Then:       r.batch,
	})
	if err == nil && !response.Succeeded {
		err = errRestoreSuperseded
	}
	r.batch = nil
	r.bytes = 0
	return errors.Join(err, ctx.Err())
}

// UndoRestore empties a store in which a restore was cut off, and admits other writes again.
func (s *Store) UndoRestore(ctx context.Context) error {
	if _, err := s.WaitFresh(ctx, Freshness{}); err != nil {
		return err
	}
	entries, _ := s.state.entries()
	marker, ok := entries[kv.RestoreMarkerKey]
	if !ok {
		return fmt.Errorf("%w: no backup is being put back", kv.ErrInvalidRequest)
	}
	batch := kv.Request{If: []kv.Compare{{Key: kv.RestoreMarkerKey, Revision: marker.ModRevision}}}
	for key := range entries {
		// Under the first version of the marker it was not known yet whether the store is empty.
		if marker.Version > 1 && kv.IsUserKey(key) {
			batch.Then = append(batch.Then, kv.Delete(key))
		}
		if len(batch.Then) == maxRestoreOps {
			if _, err := s.Execute(batch); err != nil {
				return err
			}
			batch.Then = nil
		}
	}
	batch.Then = append(batch.Then, kv.Delete(kv.RestoreMarkerKey))
	_, err := s.Execute(batch)
	return err
}

// beginRestore closes the store to other writes than this backup's, if it is empty or was closed for
// the same backup. It returns the marker's revision.
//
// The marker is written twice. The first version keeps other writers out while it is checked that
// the store is empty; the second one says that it was, so that what is in it since then is of this
// backup.
func (s *Store) beginRestore(ctx context.Context, sha256 string) (revision uint64, err error) {
	value, err := json.Marshal(sha256)
	if err != nil {
		return 0, err
	}
	if err := s.putMarker(ctx, value); err != nil {
		return 0, err
	}
	entries, _ := s.state.entries()
	marker, ok := entries[kv.RestoreMarkerKey]
	if !ok || !bytes.Equal(marker.Value, value) {
		return 0, fmt.Errorf("%w: another backup is being put back", ErrNotEmpty)
	}
	if marker.Version > 1 {
		return marker.ModRevision, nil
	}
	if used := countUserKeys(entries); used > 0 {
		_, err = s.Execute(kv.Request{Then: []kv.Op{kv.Delete(kv.RestoreMarkerKey)}})
		return 0, errors.Join(fmt.Errorf("%w: it has %d keys", ErrNotEmpty, used), err)
	}
	response, err := s.Execute(kv.Request{
		If:   []kv.Compare{{Key: kv.RestoreMarkerKey, Revision: marker.ModRevision}},
		Then: []kv.Op{kv.Put(kv.RestoreMarkerKey, value)},
	})
	if err == nil && !response.Succeeded {
		err = errRestoreSuperseded
	}
	if err != nil {
		return 0, err
	}
	return response.Results[0].Revision, nil
}

// putMarker writes the first version of the marker unless there is one, and waits until all that was
// written before it is known.
func (s *Store) putMarker(ctx context.Context, value json.RawMessage) error {
	_, err := s.Execute(kv.Request{
		If:   []kv.Compare{{Key: kv.RestoreMarkerKey}},
		Then: []kv.Op{kv.Put(kv.RestoreMarkerKey, value)},
	})
	if err != nil {
		return err
	}
	_, err = s.WaitFresh(ctx, Freshness{})
	return err
}

func countUserKeys(entries map[string]kv.Entry) (count int) {
	for key := range entries {
		if kv.IsUserKey(key) {
			count++
		}
	}
	return count
}
