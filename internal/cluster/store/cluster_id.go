package store

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/raftstorage"
)

const (
	clusterIDPollInterval = 100 * time.Millisecond
	clusterIDBytes        = 16 // before they are written in hexadecimal
)

// learnedClusterID is which cluster this node belongs to, and which peers belong to another one. A
// new node belongs to none until it has the key from the others, and to that one for good.
type learnedClusterID struct {
	mu           sync.Mutex
	id           string
	foreignPeers map[string]string // their cluster IDs, by name
}

func (c *learnedClusterID) get() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.id
}

func (c *learnedClusterID) set(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id = id
}

// foreignNames are the peers of other clusters, separated by spaces.
func (c *learnedClusterID) foreignNames() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(slices.Sorted(maps.Keys(c.foreignPeers)), " ")
}

// addForeign notes a peer of another cluster, and logs it once.
func (c *learnedClusterID) addForeign(name, clusterID string, log *zap.Logger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.foreignPeers[name] != clusterID {
		log.Error("peer belongs to another cluster", zap.String("peer", name), zap.String("peer_cluster", clusterID), zap.String("cluster", c.id))
	}
	if c.foreignPeers == nil {
		c.foreignPeers = map[string]string{}
	}
	c.foreignPeers[name] = clusterID
}

func (c *learnedClusterID) removeForeign(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.foreignPeers, name)
}

// ClusterID is the cluster's ID, or "" while it is not known.
func (s *Store) ClusterID() string { return s.clusterID.get() }

// maintainClusterID learns the cluster's ID, or as the leader of a new cluster gives it one, and
// saves it beside the log.
func (s *Store) maintainClusterID(ctx context.Context, inc *incarnation) {
	for s.clusterID.get() == "" && ctx.Err() == nil {
		if err := s.learnClusterID(ctx, inc); err != nil && ctx.Err() == nil {
			s.log.Debug("cluster id not known yet", zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(clusterIDPollInterval):
		}
	}
}

func (s *Store) learnClusterID(ctx context.Context, inc *incarnation) error {
	e, ok := s.state.get(kv.ClusterIDKey)
	if !ok {
		if !inc.isLeader() {
			return nil
		}
		return s.createClusterID(ctx)
	}
	id, err := parseClusterID(e)
	if err != nil {
		return err
	}
	if err := inc.storage.PutLocal(kv.ClusterIDKey, []byte(id)); err != nil {
		return fmt.Errorf("keep cluster id: %w", err)
	}
	s.clusterID.set(id)
	s.log.Info("cluster id", zap.String("cluster", id))
	return nil
}

// createClusterID writes a new ID unless the cluster has one by then.
func (s *Store) createClusterID(ctx context.Context) error {
	// All that was committed must be known: the cluster may have an ID.
	if _, err := s.WaitFresh(ctx, Freshness{}); err != nil {
		return err
	}
	id, err := json.Marshal(randomHex(clusterIDBytes))
	if err != nil {
		return err
	}
	_, err = s.Execute(kv.Request{
		TokenFloor: tokenFloor(0),
		If:         []kv.Compare{{Key: kv.ClusterIDKey}},
		Then:       []kv.Op{kv.Put(kv.ClusterIDKey, id)},
	})
	return err
}

// parseClusterID reads the key that names the cluster.
func parseClusterID(e kv.Entry) (id string, err error) {
	if err := json.Unmarshal(e.Value, &id); err != nil || id == "" {
		return "", fmt.Errorf("%s: %s is no id", kv.ClusterIDKey, e.Value)
	}
	return id, nil
}

// readClusterID is the ID that was saved beside the log, "" if there is none.
func readClusterID(storage *raftstorage.Storage) (string, error) {
	id, err := storage.GetLocal(kv.ClusterIDKey)
	if err != nil {
		return "", fmt.Errorf("cluster id: %w", err)
	}
	return string(id), nil
}

// loggedClusterID is the ID in the log of a node that stopped before it saved it. It may not have
// been committed.
func loggedClusterID(storage *raftstorage.Storage) (string, error) {
	state := newReplicatedState()
	if err := replayLog(storage, state); err != nil {
		return "", fmt.Errorf("cluster id: %w", err)
	}
	e, ok := state.get(kv.ClusterIDKey)
	if !ok {
		return "", nil
	}
	return parseClusterID(e)
}

// tokenFloor is what the fencing tokens of a new cluster lie above: the highest token known of the
// old cluster, and what the old one can have given by now, as its tokens began by this rule too.
func tokenFloor(known uint64) uint64 {
	return max(known, uint64(time.Now().UnixMilli())*lease.TokensPerMS)
}
