package store

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"oxbowbridge/internal/kv"
)

const (
	headCluster  = "Cluster"
	identityLook = 100 * time.Millisecond
	peerCheck    = 500 * time.Millisecond // a peer that does not say whose it is in that time is not called
	peerTrust    = 5 * time.Second        // for which its word counts
)

// identity is which cluster this node is of, and what its peers said of theirs. A new
// node knows none until it has the key from the others, and is of that one for good.
type identity struct {
	mu      sync.Mutex
	own     string
	checked map[string]time.Time // when a peer's word was taken, by raft address
	others  map[string]string    // peers of other clusters, and which
}

func (i *identity) id() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.own
}

func (i *identity) foreign() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return strings.Join(slices.Sorted(maps.Keys(i.others)), " ")
}

// readIdentity recalls the cluster that this node's folder is of.
func (s *Store) readIdentity() error {
	id, err := s.disk.Kept(kv.ClusterKey)
	if err != nil {
		return fmt.Errorf("cluster id: %w", err)
	}
	s.cluster.own = string(id)
	s.cluster.checked, s.cluster.others = map[string]time.Time{}, map[string]string{}
	return nil
}

// keepIdentity learns the cluster's id, or as the leader of a new cluster gives it one,
// and keeps it beside the log. The function it returns ends it.
func (s *Store) keepIdentity() func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for s.cluster.id() == "" && ctx.Err() == nil {
			if err := s.learnIdentity(ctx); err != nil && ctx.Err() == nil {
				s.log.Debug("cluster id not known yet", zap.Error(err))
			}
			select {
			case <-ctx.Done():
			case <-time.After(identityLook):
			}
		}
	}()
	return func() { cancel(); <-done }
}

func (s *Store) learnIdentity(ctx context.Context) error {
	e, ok := s.state.get(kv.ClusterKey)
	if !ok {
		if s.raft.State() != raft.Leader {
			return nil
		}
		// Not before all that was committed is known: the cluster may have one.
		if _, err := s.fresh(ctx, Freshness{}); err != nil {
			return err
		}
		b := make([]byte, 16)
		rand.Read(b)
		id, _ := json.Marshal(hex.EncodeToString(b))
		_, err := s.Do(kv.Request{If: []kv.Compare{{Key: kv.ClusterKey}},
			Then: []kv.Op{{Do: "put", Key: kv.ClusterKey, Value: id}}})
		return err
	}
	var id string
	if err := json.Unmarshal(e.Value, &id); err != nil || id == "" {
		return fmt.Errorf("%s: %s is no id", kv.ClusterKey, e.Value)
	}
	if err := s.disk.Keep(kv.ClusterKey, []byte(id)); err != nil {
		return fmt.Errorf("keep cluster id: %w", err)
	}
	s.cluster.mu.Lock()
	s.cluster.own = id
	s.cluster.mu.Unlock()
	s.log.Info("cluster id", zap.String("cluster", id))
	return nil
}

// peerStream is Raft's network. It calls no peer that is of another cluster, as one is
// whose folder outlived it: such nodes neither vote for each other nor take each
// other's log.
type peerStream struct {
	net.Listener
	store *Store
}

// Dial connects to a peer of this cluster.
func (p *peerStream) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	if err := p.store.checkPeer(string(addr)); err != nil {
		return nil, err
	}
	return net.DialTimeout("tcp", string(addr), timeout)
}

// checkPeer asks a peer's admin port which cluster it is of. One that knows none yet,
// or is of the version before, may be called; a node that knows none itself calls none
// that does: it is not its place to lead them, and they call it.
func (s *Store) checkPeer(addr string) error {
	own := s.cluster.id()
	i := slices.IndexFunc(s.cfg.Peers, func(p Peer) bool { return p.Raft == addr })
	s.cluster.mu.Lock()
	trusted := time.Since(s.cluster.checked[addr]) < peerTrust
	s.cluster.mu.Unlock()
	if i < 0 || trusted {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerCheck)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.cfg.Peers[i].Admin+"/status", nil)
	if err != nil {
		return fmt.Errorf("check peer: %w", err)
	}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return fmt.Errorf("check peer: %w", err)
	}
	res.Body.Close()
	theirs := res.Header.Get(headCluster)
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	if theirs != "" && own == "" {
		return fmt.Errorf("%s is of cluster %s, this node of none yet", addr, theirs)
	}
	if theirs != "" && theirs != own {
		if s.cluster.others[addr] != theirs {
			s.log.Error("peer is of another cluster", zap.String("peer", s.cfg.Peers[i].Name), zap.String("cluster", theirs), zap.String("own", own))
		}
		s.cluster.others[addr] = theirs
		return fmt.Errorf("%s is of another cluster: %s", addr, theirs)
	}
	delete(s.cluster.others, addr)
	if own != "" {
		s.cluster.checked[addr] = time.Now()
	}
	return nil
}

// sameCluster says with each answer which cluster this node is of, and refuses what
// was meant for another.
func (a *admin) sameCluster(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		own, theirs := a.store.cluster.id(), r.Header.Get(headCluster)
		if own != "" {
			w.Header().Set(headCluster, own)
		}
		if own != "" && theirs != "" && own != theirs {
			http.Error(w, fmt.Sprintf("this node is of cluster %s, not of %s", own, theirs), http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}
