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
	maxRestoreOps   = kv.MaxOps / 2 // keys that one entry of the log puts back
	maxRestoreBytes = 256 << 10     // of their values
)

// ErrNotEmpty refuses a restore into a store that is in use.
var ErrNotEmpty = errors.New("a backup is put back into an empty store only")

// restoredKey tells which backup the store began with.
const restoredKey = kv.ReservedPrefix + "restored"

// Restore puts a backup back into an empty store of another cluster; only the leader can.
func (s *Store) Restore(ctx context.Context, head backup.Header, keys []backup.Entry) (storeapi.RestoreResponse, error) {
	if _, err := s.WaitFresh(ctx, Freshness{}); err != nil {
		return storeapi.RestoreResponse{}, err
	}
	own := s.identity.get()
	switch {
	case own == "":
		return storeapi.RestoreResponse{}, errors.New("the cluster has no id yet")
	case own == head.Cluster:
		return storeapi.RestoreResponse{}, fmt.Errorf("%w: this is the cluster that it was taken from", ErrNotEmpty)
	}
	var out storeapi.RestoreResponse
	if e, ok := s.state.get(restoredKey); ok && json.Unmarshal(e.Value, &out) == nil && out.SHA256 == head.SHA256 {
		return out, nil // asked for again, as the answer was lost
	}
	marker, err := s.beginRestore(ctx, head.SHA256)
	if err != nil {
		return storeapi.RestoreResponse{}, err
	}
	out = storeapi.RestoreResponse{SourceCluster: head.Cluster, Cluster: own, SHA256: head.SHA256}
	part, size := kv.Request{}, 0
	flush := func(last bool) error {
		part.If = []kv.Compare{{Key: kv.RestoreKey, Revision: marker}}
		part.TokenFloor = tokenFloor(head.Token)
		if last {
			text, _ := json.Marshal(out)
			part.Then = append(part.Then, kv.Op{Kind: "delete", Key: kv.RestoreKey}, kv.Op{Kind: "put", Key: restoredKey, Value: text})
		}
		got, err := s.Execute(part)
		if err == nil && !got.Succeeded {
			err = errors.New("another restore has taken its place")
		}
		part, size = kv.Request{}, 0
		return errors.Join(err, ctx.Err())
	}
	for _, k := range keys {
		if !kv.IsUserKey(k.Key) {
			continue // what the old services said of themselves
		}
		part.Then = append(part.Then, kv.Op{Kind: "put", Key: k.Key, Value: k.Value})
		size += len(k.Value)
		if out.Keys++; len(part.Then) >= maxRestoreOps || size >= maxRestoreBytes {
			if err := flush(false); err != nil {
				return storeapi.RestoreResponse{}, err
			}
		}
	}
	if err := flush(true); err != nil {
		return storeapi.RestoreResponse{}, err
	}
	return out, nil
}

// UndoRestore empties a store in which a restore was cut off, and opens it again.
func (s *Store) UndoRestore(ctx context.Context) error {
	if _, err := s.WaitFresh(ctx, Freshness{}); err != nil {
		return err
	}
	entries, _ := s.state.entries()
	marker, ok := entries[kv.RestoreKey]
	if !ok {
		return fmt.Errorf("%w: no backup is being put back", kv.ErrInvalidRequest)
	}
	part := kv.Request{If: []kv.Compare{{Key: kv.RestoreKey, Revision: marker.ModRevision}}}
	for key := range entries {
		// A marker of its first version was put before anybody looked what there was.
		if marker.Version > 1 && kv.IsUserKey(key) {
			part.Then = append(part.Then, kv.Op{Kind: "delete", Key: key})
		}
		if len(part.Then) == maxRestoreOps {
			if _, err := s.Execute(part); err != nil {
				return err
			}
			part.Then = nil
		}
	}
	part.Then = append(part.Then, kv.Op{Kind: "delete", Key: kv.RestoreKey})
	_, err := s.Execute(part)
	return err
}

// beginRestore shuts the store for all but one backup, if it is empty or was shut for
// the same one.
func (s *Store) beginRestore(ctx context.Context, sum string) (revision uint64, err error) {
	value, _ := json.Marshal(sum)
	_, err = s.Execute(kv.Request{If: []kv.Compare{{Key: kv.RestoreKey}},
		Then: []kv.Op{{Kind: "put", Key: kv.RestoreKey, Value: value}}})
	if err == nil {
		_, err = s.WaitFresh(ctx, Freshness{}) // all that was written before is known
	}
	if err != nil {
		return 0, err
	}
	entries, _ := s.state.entries()
	m, ok := entries[kv.RestoreKey]
	if !ok || !bytes.Equal(m.Value, value) {
		return 0, fmt.Errorf("%w: another backup is being put back", ErrNotEmpty)
	}
	if m.Version > 1 {
		return m.ModRevision, nil
	}
	used := 0
	for key := range entries {
		if kv.IsUserKey(key) {
			used++
		}
	}
	if used > 0 {
		_, err = s.Execute(kv.Request{Then: []kv.Op{{Kind: "delete", Key: kv.RestoreKey}}})
		return 0, errors.Join(fmt.Errorf("%w: it has %d keys", ErrNotEmpty, used), err)
	}
	// A second version of the marker says that the store was empty: from here on, what
	// is in it is of this backup.
	got, err := s.Execute(kv.Request{If: []kv.Compare{{Key: kv.RestoreKey, Revision: m.ModRevision}},
		Then: []kv.Op{{Kind: "put", Key: kv.RestoreKey, Value: value}}})
	if err == nil && !got.Succeeded {
		err = errors.New("another restore has taken its place")
	}
	if err != nil {
		return 0, err
	}
	return got.Results[0].Revision, nil
}
