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
	maxRestoreBatchOps   = kv.MaxOps / 2 // keys that one log entry restores
	maxRestoreBatchBytes = 256 << 10     // total size of the values that one log entry restores
	// restoreResultKey holds the result of the completed restore, as a storeapi.RestoreResponse.
	restoreResultKey = kv.ReservedPrefix + "restored"
)

var errNoClusterID = errors.New("the cluster has no id yet")

// Restore writes a backup into the empty store of another cluster. It returns ErrNoLeader on any node but
// the leader. Until the restore is complete, the store rejects all other writes. A retry with the same
// backup resumes the restore, or returns the result if it is already complete.
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
	if earlier, ok := s.previousRestore(); ok && earlier.SHA256 == header.SHA256 {
		return earlier, nil
	}
	markerRevision, err := s.startRestore(ctx, header.SHA256)
	if err != nil {
		return storeapi.RestoreResponse{}, err
	}
	writer := &restoreWriter{
		store:          s,
		markerRevision: markerRevision,
		header:         header,
		result:         storeapi.RestoreResponse{SourceCluster: header.Cluster, Cluster: clusterID, SHA256: header.SHA256},
	}
	if err := writer.write(ctx, entries); err != nil {
		return storeapi.RestoreResponse{}, err
	}
	return writer.result, nil
}

// previousRestore returns the result of the restore that initialized this store.
func (s *Store) previousRestore() (out storeapi.RestoreResponse, ok bool) {
	e, ok := s.state.get(restoreResultKey)
	return out, ok && json.Unmarshal(e.Value, &out) == nil
}

// restoreWriter writes a backup in batches. Each batch is one log entry that takes effect only while the
// restore marker is unchanged.
type restoreWriter struct {
	store          *Store
	markerRevision uint64 // revision of kv.RestoreMarkerKey
	header         backup.Header
	batch          []kv.Op
	bytes          int // total size of the batch's values
	result         storeapi.RestoreResponse
}

func (r *restoreWriter) write(ctx context.Context, entries []backup.Entry) error {
	for _, e := range entries {
		if !kv.IsUserKey(e.Key) {
			continue // runtime state that services of the old cluster published
		}
		r.batch = append(r.batch, kv.Put(e.Key, e.Value))
		r.bytes += len(e.Value)
		r.result.Keys++
		if len(r.batch) < maxRestoreBatchOps && r.bytes < maxRestoreBatchBytes {
			continue
		}
		if err := r.flush(ctx); err != nil {
			return err
		}
	}
	return r.finish(ctx)
}

// finish records the result and deletes the restore marker, so that other writes are accepted again.
func (r *restoreWriter) finish(ctx context.Context) error {
	encoded, err := json.Marshal(r.result)
	if err != nil {
		return err
	}
	r.batch = append(r.batch, kv.Delete(kv.RestoreMarkerKey), kv.Put(restoreResultKey, encoded))
	return r.flush(ctx)
}

func (r *restoreWriter) flush(ctx context.Context) error {
	response, err := r.store.Execute(kv.Request{
		TokenFloor: tokenFloor(r.header.MaxFencingToken),
		If:         []kv.Compare{{Key: kv.RestoreMarkerKey, Revision: r.markerRevision}},
		Then:       r.batch,
	})
	if err == nil && !response.Succeeded {
		err = errRestoreSuperseded
	}
	r.batch = nil
	r.bytes = 0
	return errors.Join(err, ctx.Err())
}

// UndoRestore deletes the keys of an interrupted restore, and lets the store accept other writes again.
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
		// While the marker is at version 1, it is not verified that the store was empty, so that its keys may
		// predate the restore.
		if marker.Version > 1 && kv.IsUserKey(key) {
			batch.Then = append(batch.Then, kv.Delete(key))
		}
		if len(batch.Then) == maxRestoreBatchOps {
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

// startRestore sets the restore marker, which rejects all writes but this backup's. The store must be
// empty, or have a marker of the same backup. It returns the marker's revision.
//
// The marker is written twice. Version 1 blocks other writers while startRestore verifies that the store
// is empty. Version 2 records that it was empty, so that all user keys written since then are from this
// backup.
func (s *Store) startRestore(ctx context.Context, sha256 string) (revision uint64, err error) {
	value, err := json.Marshal(sha256)
	if err != nil {
		return 0, err
	}
	if err := s.putRestoreMarker(ctx, value); err != nil {
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
	if userKeys := countUserKeys(entries); userKeys > 0 {
		_, err = s.Execute(kv.Request{Then: []kv.Op{kv.Delete(kv.RestoreMarkerKey)}})
		return 0, errors.Join(fmt.Errorf("%w: it has %d keys", ErrNotEmpty, userKeys), err)
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

// putRestoreMarker writes version 1 of the marker unless a marker exists, and waits until this node has
// applied all earlier entries.
func (s *Store) putRestoreMarker(ctx context.Context, value json.RawMessage) error {
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
