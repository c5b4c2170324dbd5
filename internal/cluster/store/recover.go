package store

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/raftstorage"
)

// RecoveryReport is what a stopped node has of a cluster whose majority is lost for good.
type RecoveryReport struct {
	Node         string                            `json:"node"`
	ID           string                            `json:"id"`
	Cluster      string                            `json:"cluster"`
	Watermark    diskidentity.Watermark            `json:"mark"`
	Keys         int                               `json:"keys"`
	Members      []string                          `json:"members"`
	Voters       []string                          `json:"voters"`
	LastObserved map[string]diskidentity.Watermark `json:"seen"` // the most that this node saw of the others' disks
	// Missing is what others had that this node has not, as far as it knows.
	Missing    []string `json:"missing,omitempty"`
	NewCluster string   `json:"new_cluster,omitempty"` // once it was recovered
}

// ErrNotConfirmed means that a recovery was not confirmed with the cluster's id.
var ErrNotConfirmed = errors.New("not confirmed")

// Inspect reads the folder of a stopped node.
func Inspect(cfg Config) (left RecoveryReport, err error) {
	r, err := openStopped(cfg)
	if err != nil {
		return left, err
	}
	return r.report, r.storage.Close()
}

// Recover makes a cluster of one of the folder of a stopped node, if the old cluster's id
// is given as confirmation. It is another cluster with another id: members of the old one
// can't come back into it. What is in this node's log counts as committed.
func Recover(cfg Config, cluster string) (left RecoveryReport, err error) {
	r, err := openStopped(cfg)
	if err != nil {
		return left, err
	}
	defer func() { err = errors.Join(err, r.storage.Close()) }()
	left = r.report
	if cluster != left.Cluster || cluster == "" {
		return left, fmt.Errorf("%w: this is of cluster %q", ErrNotConfirmed, left.Cluster)
	}
	self, _ := cfg.self()
	id, err := renewIdentity(r.storage, self.Name)
	if err != nil {
		return left, err
	}
	b := make([]byte, 16)
	rand.Read(b)
	left.NewCluster, left.ID = hex.EncodeToString(b), id
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(id)
	rc.Logger = hclog.New(&hclog.LoggerOptions{Output: io.Discard})
	_, transport := raft.NewInmemTransport("")
	conf := raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(id), Address: encodeAddress(self, id)}}}
	as := &recoveredState{replicatedState: newReplicatedState(), clusterID: left.NewCluster, previousCluster: cluster}
	if err := raft.RecoverCluster(rc, as, r.storage, r.storage, r.storage, transport, conf); err != nil {
		return left, fmt.Errorf("recover: %w", err)
	}
	if err := r.storage.PutLocal(kv.ClusterKey, []byte(left.NewCluster)); err != nil {
		return left, fmt.Errorf("keep cluster id: %w", err)
	}
	return left, nil
}

type stoppedNode struct {
	storage *raftstorage.Storage
	report  RecoveryReport
}

func openStopped(cfg Config) (r stoppedNode, err error) {
	if err := cfg.Check(); err != nil {
		return r, err
	}
	self, _ := cfg.self()
	s := &Store{cfg: cfg, self: self, log: zap.NewNop()}
	if r.storage, _, err = openFolder(cfg.Dir); err != nil {
		return r, fmt.Errorf("dir: %w", err)
	}
	defer func() {
		if err != nil {
			r.storage.Close()
		}
	}()
	cluster, err := readClusterID(r.storage)
	if err != nil {
		return r, err
	}
	s.identity.set(cluster)
	f, err := s.readFolder(r.storage)
	if err != nil {
		return r, err
	}
	if f.local.Empty {
		return r, errors.New("the folder holds nothing that could be recovered")
	}
	seen, err := readWatermarks(r.storage)
	if err != nil {
		return r, err
	}
	state := newReplicatedState()
	if err := replayLog(r.storage, state); err != nil {
		return r, err
	}
	all, _ := state.entries()
	r.report = RecoveryReport{Node: self.Name, ID: f.local.ID, Cluster: cmp.Or(cluster, f.local.LoggedCluster), Watermark: f.local.Watermark, Keys: len(all), Members: f.local.Members,
		Voters: f.local.Voters, LastObserved: map[string]diskidentity.Watermark{}}
	for id, m := range seen {
		if !slices.Contains(f.local.Members, id) {
			continue
		}
		r.report.LastObserved[id] = m
		if m.LastTerm > f.local.Watermark.LastTerm || m.LastTerm == f.local.Watermark.LastTerm && m.LastIndex > f.local.Watermark.LastIndex {
			r.report.Missing = append(r.report.Missing, fmt.Sprintf("%s had entries up to %d of term %d, this node up to %d of term %d",
				id, m.LastIndex, m.LastTerm, f.local.Watermark.LastIndex, f.local.Watermark.LastTerm))
		}
	}
	slices.Sort(r.report.Missing)
	return r, nil
}

// replayLog reads the newest snapshot and the log above it.
func replayLog(disk *raftstorage.Storage, to *replicatedState) error {
	from := uint64(1)
	metas, err := disk.List()
	if err != nil {
		return err
	}
	if len(metas) > 0 {
		_, r, err := disk.Open(metas[0].ID)
		if err == nil {
			err = to.Restore(r)
		}
		if err != nil {
			return err
		}
		from = metas[0].Index + 1
	}
	last, _ := disk.LastIndex()
	for i := from; i <= last; i++ {
		var l raft.Log
		if err := disk.GetLog(i, &l); err != nil {
			return err
		}
		if l.Type == raft.LogCommand {
			to.Apply(&l)
		}
	}
	return nil
}

// recoveredState is a state that gets another cluster's id when it is written down.
type recoveredState struct {
	*replicatedState
	clusterID, previousCluster string
}

// Snapshot is the state under its new id.
func (r *recoveredState) Snapshot() (raft.FSMSnapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.data.Clone()
	k.Leases.RaiseTokenFloor(tokenFloor(0)) // what the others gave may be missing
	var was []string
	if e, ok := k.Entries[kv.PreviousClustersKey]; ok {
		json.Unmarshal(e.Value, &was) // this package wrote it
	}
	for key, v := range map[string]any{kv.ClusterKey: r.clusterID, kv.PreviousClustersKey: append(was, r.previousCluster)} {
		text, err := json.Marshal(v)
		if err != nil {
			return nil, err
		}
		k.Entries[key] = kv.Entry{Value: text, ModRevision: k.Applied, CreateRevision: k.Applied, Version: 1}
	}
	return &snapshot{k}, nil
}
