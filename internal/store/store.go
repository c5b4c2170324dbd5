// Package store is the small replicated store of the service's configuration
// and administrative state: Raft between the nodes, and a SQL database as store
// of record. It is never on the path of a request.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"go.uber.org/zap"
	"go.uber.org/zap/zapio"

	"oxbowbridge/internal/durable"
	"oxbowbridge/internal/kv"
	"oxbowbridge/internal/raftdisk"
)

const (
	applyTimeout   = 3 * time.Second
	electionTime   = 500 * time.Millisecond
	snapshotAfter  = 1024 // log entries
	transportConns = 3
	transportTime  = 2 * time.Second
)

// CloseTime is how long Close takes at most.
const CloseTime = time.Second

// Peer is one node of the store.
type Peer struct {
	Name  string `json:"name"`
	Raft  string `json:"raft"`  // where the nodes talk to each other
	Admin string `json:"admin"` // where operators talk to it
}

// Config sets a node up. All nodes have the same peers.
type Config struct {
	Node  string `json:"node"`
	Dir   string `json:"dir"`
	Peers []Peer `json:"peers"`
	SQL   struct {
		Driver string `json:"driver"` // "sqlite", "postgres", or "" for no store of record
		DSN    string `json:"dsn"`
	} `json:"sql"`
}

// Check names the field at fault.
func (c *Config) Check() error {
	if c.Dir == "" {
		return errors.New("dir: missing")
	}
	if _, ok := c.self(); !ok {
		return fmt.Errorf("node: %q is not among the peers", c.Node)
	}
	for i, p := range c.Peers {
		for field, addr := range map[string]string{"raft": p.Raft, "admin": p.Admin} {
			host, _, err := net.SplitHostPort(addr)
			if err != nil {
				return fmt.Errorf("peers.%d.%s: %w", i, field, err)
			}
			// Neither port asks who is there.
			if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
				return fmt.Errorf("peers.%d.%s: %s is not a loopback address", i, field, addr)
			}
		}
	}
	if _, ok := drivers[c.SQL.Driver]; !ok && c.SQL.Driver != "" {
		return fmt.Errorf("sql.driver: %q is neither sqlite nor postgres", c.SQL.Driver)
	}
	return nil
}

func (c *Config) self() (Peer, bool) {
	for _, p := range c.Peers {
		if p.Name == c.Node {
			return p, true
		}
	}
	return Peer{}, false
}

// Store is one running node.
type Store struct {
	cfg    Config
	self   Peer
	log    *zap.Logger
	raft   *raft.Raft
	state  *state
	mirror *mirror
	admin  *admin
	disk   *raftdisk.Disk
	close  []func()

	prover  *prover
	barred  atomic.Uint64 // the term in which this node, as leader, has committed an entry
	knownMu sync.Mutex
	knownAt time.Time
	cluster identity
}

// Open starts a node. It finds the others by itself, and what it missed.
func Open(cfg Config, log *zap.Logger) (*Store, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	s := &Store{cfg: cfg, log: log, state: newState()}
	s.self, _ = cfg.self()
	s.prover = &prover{ask: s.committed}
	if err := s.open(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) open() error {
	if err := os.MkdirAll(s.cfg.Dir, 0o750); err != nil {
		return fmt.Errorf("dir: %w", err)
	}
	out := &zapio.Writer{Log: s.log.Named("raft"), Level: zap.InfoLevel}
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(s.self.Name)
	rc.HeartbeatTimeout, rc.ElectionTimeout, rc.LeaderLeaseTimeout = electionTime, electionTime, electionTime
	rc.SnapshotThreshold = snapshotAfter
	rc.Logger = hclog.New(&hclog.LoggerOptions{Level: hclog.Error, Output: out, DisableTime: true})
	disk, report, err := raftdisk.Open(s.cfg.Dir)
	if err != nil {
		return fmt.Errorf("dir: %w", err)
	}
	s.disk = disk
	s.close = append(s.close, func() { disk.Close() })
	if report.Loss == durable.TailLoss {
		s.log.Info("unsynced tail of the log cut off", zap.Int64("bytes", report.CutBytes))
	}
	if err := s.readIdentity(); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", s.self.Raft)
	if err != nil {
		return fmt.Errorf("raft address: %w", err)
	}
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: &peerStream{ln, s},
		MaxPool: transportConns, Timeout: transportTime, Logger: rc.Logger})
	s.close = append(s.close, func() { transport.Close() })
	had, err := raft.HasExistingState(disk, disk, disk)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	if !had { // all nodes start from the same list, so each may do so alone
		var servers []raft.Server
		for _, p := range s.cfg.Peers {
			servers = append(servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Raft)})
		}
		if err := raft.BootstrapCluster(rc, disk, disk, disk, transport, raft.Configuration{Servers: servers}); err != nil {
			return fmt.Errorf("first start: %w", err)
		}
	}
	if s.raft, err = raft.NewRaft(rc, s.state, disk, disk, disk, transport); err != nil {
		return fmt.Errorf("start raft: %w", err)
	}
	s.close = append(s.close, func() { s.raft.Shutdown().Error() })
	if s.admin, err = serveAdmin(s); err != nil {
		return err
	}
	s.close = append(s.close, s.admin.close, s.keepIdentity())
	if s.cfg.SQL.Driver != "" {
		s.mirror = startMirror(s)
		s.close = append(s.close, s.mirror.close)
	}
	return nil
}

// Close stops the node, waiting CloseTime at most: what is committed is on disk.
func (s *Store) Close() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := len(s.close) - 1; i >= 0; i-- {
			s.close[i]()
		}
	}()
	select {
	case <-done:
	case <-time.After(CloseTime):
		s.log.Warn("store did not stop in time")
	}
}

// Good is a version of a key that the service has used.
type Good struct {
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// Keep remembers on this node's own disk which version of a key is good, for a start
// at which the other nodes are away.
func (s *Store) Keep(key string, g Good) error {
	text, err := json.Marshal(g)
	if err == nil {
		err = s.disk.Keep(key, text)
	}
	if err != nil {
		return fmt.Errorf("keep %s: %w", key, err)
	}
	return nil
}

// LastGood is what Keep was last given.
func (s *Store) LastGood(key string) (g Good, found bool, err error) {
	text, err := s.disk.Kept(key)
	if err != nil || text == nil {
		return g, false, err
	}
	err = json.Unmarshal(text, &g)
	return g, err == nil, err
}

// Watch has call told of each change from now on, in order; value is nil for a
// key that was deleted. It must not block.
func (s *Store) Watch(call func(key string, value json.RawMessage)) { s.state.watch(call) }

// Entry is a key with its revision, as this node knows it.
func (s *Store) Entry(key string) (kv.Entry, bool) { return s.state.get(key) }

// Get reads a key as this node knows it, however old that is.
func (s *Store) Get(key string) (json.RawMessage, bool) {
	e, ok := s.state.get(key)
	return e.Value, ok
}

// Caught waits until this node knows all that was committed when it asked, and
// reports whether it does.
func (s *Store) Caught(ctx context.Context) bool {
	for {
		if _, err := s.fresh(ctx, Freshness{}); err == nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// committed asks whoever leads for its read index.
func (s *Store) committed(ctx context.Context) (uint64, error) {
	if s.raft.State() == raft.Leader {
		return s.readIndex()
	}
	return s.admin.indexOfLeader(ctx)
}

// Set writes a key; a nil value deletes it. It is done when most nodes have it.
func (s *Store) Set(ctx context.Context, key string, value json.RawMessage) error {
	if s.raft.State() != raft.Leader {
		return s.admin.forward(ctx, key, value)
	}
	return s.apply(command{Key: key, Value: value})
}

func (s *Store) apply(list ...command) error {
	if err := requestFor(list).Check(); err != nil {
		return err
	}
	text, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("encode commands: %w", err)
	}
	_, err = s.propose(text)
	return err
}

// Do carries a request out; only the leader can. An error that is none of kv's leaves
// open whether it was, or will be: repeated in its session, it takes effect once.
func (s *Store) Do(r kv.Request) (kv.Answer, error) {
	if err := errors.Join(r.CheckLength(), r.Check()); err != nil {
		return kv.Answer{}, err
	}
	if s.raft.State() != raft.Leader {
		return kv.Answer{}, errNoLeader
	}
	r.TimeMS = time.Now().UnixMilli()
	text, err := json.Marshal(r)
	if err != nil {
		return kv.Answer{}, fmt.Errorf("encode request: %w", err)
	}
	return s.propose(text)
}

func (s *Store) propose(text []byte) (kv.Answer, error) {
	f := s.raft.Apply(text, applyTimeout)
	if err := f.Error(); err != nil {
		return kv.Answer{}, fmt.Errorf("commit: %w", err)
	}
	out := f.Response().(outcome)
	return out.answer, out.err
}

// leader is the admin address of the leader as this node knows it.
func (s *Store) leader() (Peer, bool) {
	_, id := s.raft.LeaderWithID()
	for _, p := range s.cfg.Peers {
		if p.Name == string(id) {
			return p, true
		}
	}
	return Peer{}, false
}
