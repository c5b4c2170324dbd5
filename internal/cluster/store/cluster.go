package store

import (
	"context"
	"crypto/rand"
	"encoding/hex"
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
)

const identityLook = 100 * time.Millisecond

// clusterIdentity is which cluster this node is of, and which peers say that they are of
// another. A new node knows none until it has the key from the others, and is of that
// one for good.
type clusterIdentity struct {
	mu           sync.Mutex
	id           string
	foreignPeers map[string]string // by name
}

func (c *clusterIdentity) get() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.id
}

func (c *clusterIdentity) set(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id = id
}

func (c *clusterIdentity) foreignNames() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(slices.Sorted(maps.Keys(c.foreignPeers)), " ")
}

// addForeign notes a peer of another cluster.
func (c *clusterIdentity) addForeign(name, theirs string, log *zap.Logger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.foreignPeers[name] != theirs {
		log.Error("peer is of another cluster", zap.String("peer", name), zap.String("cluster", theirs), zap.String("own", c.id))
	}
	if c.foreignPeers == nil {
		c.foreignPeers = map[string]string{}
	}
	c.foreignPeers[name] = theirs
}

func (c *clusterIdentity) removeForeign(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.foreignPeers, name)
}

// ClusterID is the id of the cluster, or "" while it is not known.
func (s *Store) ClusterID() string { return s.identity.get() }

// maintainClusterID learns the cluster's id, or as the leader of a new cluster gives it one,
// and keeps it beside the log.
func (s *Store) maintainClusterID(ctx context.Context, l *incarnation) {
	for s.identity.get() == "" && ctx.Err() == nil {
		if err := s.learnClusterID(ctx, l); err != nil && ctx.Err() == nil {
			s.log.Debug("cluster id not known yet", zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(identityLook):
		}
	}
}

func (s *Store) learnClusterID(ctx context.Context, l *incarnation) error {
	e, ok := s.state.get(kv.ClusterKey)
	if !ok {
		if !l.isLeader() {
			return nil
		}
		// Not before all that was committed is known: the cluster may have one.
		if _, err := s.WaitFresh(ctx, Freshness{}); err != nil {
			return err
		}
		b := make([]byte, 16)
		rand.Read(b)
		id, _ := json.Marshal(hex.EncodeToString(b))
		_, err := s.Execute(kv.Request{TokenFloor: tokenFloor(0), If: []kv.Compare{{Key: kv.ClusterKey}},
			Then: []kv.Op{{Kind: "put", Key: kv.ClusterKey, Value: id}}})
		return err
	}
	id, err := parseClusterID(e)
	if err != nil {
		return err
	}
	if err := l.storage.PutLocal(kv.ClusterKey, []byte(id)); err != nil {
		return fmt.Errorf("keep cluster id: %w", err)
	}
	s.identity.set(id)
	s.log.Info("cluster id", zap.String("cluster", id))
	return nil
}

// parseClusterID reads the key that names the cluster.
func parseClusterID(e kv.Entry) (id string, err error) {
	if err := json.Unmarshal(e.Value, &id); err != nil || id == "" {
		return "", fmt.Errorf("%s: %s is no id", kv.ClusterKey, e.Value)
	}
	return id, nil
}

// tokenFloor is what fencing tokens of a cluster that begins anew are above: what the old
// one gave for certain, and what it can have given by now, as it began by this rule too.
func tokenFloor(known uint64) uint64 {
	return max(known, uint64(time.Now().UnixMilli())*lease.TokensPerMS)
}
