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

// cluster is which cluster this node is of, and which peers say that they are of
// another. A new node knows none until it has the key from the others, and is of that
// one for good.
type cluster struct {
	mu     sync.Mutex
	own    string
	others map[string]string // by name
}

func (c *cluster) id() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own
}

func (c *cluster) set(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own = id
}

func (c *cluster) foreign() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(slices.Sorted(maps.Keys(c.others)), " ")
}

// found notes a peer of another cluster.
func (c *cluster) found(name, theirs string, log *zap.Logger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.others[name] != theirs {
		log.Error("peer is of another cluster", zap.String("peer", name), zap.String("cluster", theirs), zap.String("own", c.own))
	}
	if c.others == nil {
		c.others = map[string]string{}
	}
	c.others[name] = theirs
}

func (c *cluster) lost(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.others, name)
}

// ClusterID is the id of the cluster, or "" while it is not known.
func (s *Store) ClusterID() string { return s.cluster.id() }

// keepCluster learns the cluster's id, or as the leader of a new cluster gives it one,
// and keeps it beside the log.
func (s *Store) keepCluster(ctx context.Context, l *life) {
	for s.cluster.id() == "" && ctx.Err() == nil {
		if err := s.learnCluster(ctx, l); err != nil && ctx.Err() == nil {
			s.log.Debug("cluster id not known yet", zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(identityLook):
		}
	}
}

func (s *Store) learnCluster(ctx context.Context, l *life) error {
	e, ok := s.state.get(kv.ClusterKey)
	if !ok {
		if !l.leads() {
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
	id, err := clusterOf(e)
	if err != nil {
		return err
	}
	if err := l.disk.PutLocal(kv.ClusterKey, []byte(id)); err != nil {
		return fmt.Errorf("keep cluster id: %w", err)
	}
	s.cluster.set(id)
	s.log.Info("cluster id", zap.String("cluster", id))
	return nil
}

// clusterOf reads the key that names the cluster.
func clusterOf(e kv.Entry) (id string, err error) {
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
