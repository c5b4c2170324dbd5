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
	clusterIDBytes        = 16 // length of the ID before hexadecimal encoding
)

// clusterIDState is the ID of the cluster that this node belongs to, and the peers that belong to another
// cluster. A new node has no cluster ID until it reads one from the replicated state; from then on the ID
// does not change.
type clusterIDState struct {
	mu           sync.Mutex
	id           string
	foreignPeers map[string]string // cluster ID by node name, for peers of other clusters
}

func (c *clusterIDState) get() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.id
}

func (c *clusterIDState) set(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id = id
}

// foreignPeerNames returns the names of peers that belong to other clusters, separated by spaces.
func (c *clusterIDState) foreignPeerNames() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(slices.Sorted(maps.Keys(c.foreignPeers)), " ")
}

// addForeignPeer records a peer that belongs to another cluster, and logs it once.
func (c *clusterIDState) addForeignPeer(name, clusterID string, log *zap.Logger) {
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

func (c *clusterIDState) removeForeignPeer(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.foreignPeers, name)
}

// ClusterID returns the cluster's ID, or "" while it is not known.
func (s *Store) ClusterID() string { return s.clusterID.get() }

// maintainClusterID reads the cluster's ID from the replicated state and saves it beside the log. The
// leader of a new cluster creates the ID.
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
		return fmt.Errorf("save cluster id: %w", err)
	}
	s.clusterID.set(id)
	s.log.Info("cluster id learned", zap.String("cluster", id))
	return nil
}

// createClusterID writes a new ID unless the cluster already has one.
func (s *Store) createClusterID(ctx context.Context) error {
	// An earlier leader may have committed an ID, so that this node must first apply all committed entries.
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

// parseClusterID decodes the value of the key that holds the cluster's ID.
func parseClusterID(e kv.Entry) (id string, err error) {
	if err := json.Unmarshal(e.Value, &id); err != nil || id == "" {
		return "", fmt.Errorf("%s: %s is no id", kv.ClusterIDKey, e.Value)
	}
	return id, nil
}

// readClusterID returns the ID that was saved beside the log, or "" if there is none.
func readClusterID(storage *raftstorage.Storage) (string, error) {
	id, err := storage.GetLocal(kv.ClusterIDKey)
	if err != nil {
		return "", fmt.Errorf("cluster id: %w", err)
	}
	return string(id), nil
}

// loggedClusterID returns the ID in the log of a node that stopped before it saved the ID beside the log.
// The log entry may not have been committed.
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

// tokenFloor returns the lower bound for the fencing tokens of a new cluster: the higher of the highest
// known token of the old cluster and the current Unix time in milliseconds times lease.TokensPerMS. The
// tokens of the old cluster started by the same rule, so that the old cluster cannot have granted a higher
// token by now.
func tokenFloor(known uint64) uint64 {
	return max(known, uint64(time.Now().UnixMilli())*lease.TokensPerMS)
}
