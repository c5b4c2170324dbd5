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
	r, err := openLeft(cfg)
	if err != nil {
		return left, err
	}
	return r.left, r.disk.Close()
}

// Recover makes a cluster of one of the folder of a stopped node, if the old cluster's id
// is given as confirmation. It is another cluster with another id: members of the old one
// can't come back into it. What is in this node's log counts as committed.
func Recover(cfg Config, cluster string) (left RecoveryReport, err error) {
	r, err := openLeft(cfg)
	if err != nil {
		return left, err
	}
	defer func() { err = errors.Join(err, r.disk.Close()) }()
	left = r.left
	if cluster != left.Cluster || cluster == "" {
		return left, fmt.Errorf("%w: this is of cluster %q", ErrNotConfirmed, left.Cluster)
	}
	self, _ := cfg.self()
	id, err := renew(r.disk, self.Name)
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
	conf := raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(id), Address: addressOf(self, id)}}}
	as := &recovered{state: newState(), id: left.NewCluster, was: cluster}
	if err := raft.RecoverCluster(rc, as, r.disk, r.disk, r.disk, transport, conf); err != nil {
		return left, fmt.Errorf("recover: %w", err)
	}
	if err := r.disk.PutLocal(kv.ClusterKey, []byte(left.NewCluster)); err != nil {
		return left, fmt.Errorf("keep cluster id: %w", err)
	}
	return left, nil
}

type leftover struct {
	disk *raftstorage.Storage
	left RecoveryReport
}

func openLeft(cfg Config) (r leftover, err error) {
	if err := cfg.Check(); err != nil {
		return r, err
	}
	self, _ := cfg.self()
	s := &Store{cfg: cfg, self: self, log: zap.NewNop()}
	if r.disk, _, err = openFolder(cfg.Dir); err != nil {
		return r, fmt.Errorf("dir: %w", err)
	}
	defer func() {
		if err != nil {
			r.disk.Close()
		}
	}()
	cluster, err := readClusterID(r.disk)
	if err != nil {
		return r, err
	}
	s.cluster.set(cluster)
	f, err := s.readFolder(r.disk)
	if err != nil {
		return r, err
	}
	if f.own.Empty {
		return r, errors.New("the folder holds nothing that could be recovered")
	}
	seen, err := readLedger(r.disk)
	if err != nil {
		return r, err
	}
	state := newState()
	if err := replay(r.disk, state); err != nil {
		return r, err
	}
	all, _ := state.all()
	r.left = RecoveryReport{Node: self.Name, ID: f.own.ID, Cluster: cmp.Or(cluster, f.own.LoggedCluster), Watermark: f.own.Watermark, Keys: len(all), Members: f.own.Members,
		Voters: f.own.Voters, LastObserved: map[string]diskidentity.Watermark{}}
	for id, m := range seen {
		if !slices.Contains(f.own.Members, id) {
			continue
		}
		r.left.LastObserved[id] = m
		if m.LastTerm > f.own.Watermark.LastTerm || m.LastTerm == f.own.Watermark.LastTerm && m.LastIndex > f.own.Watermark.LastIndex {
			r.left.Missing = append(r.left.Missing, fmt.Sprintf("%s had entries up to %d of term %d, this node up to %d of term %d",
				id, m.LastIndex, m.LastTerm, f.own.Watermark.LastIndex, f.own.Watermark.LastTerm))
		}
	}
	slices.Sort(r.left.Missing)
	return r, nil
}

// replay reads the newest snapshot and the log above it.
func replay(disk *raftstorage.Storage, to *state) error {
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

// recovered is a state that gets another cluster's id when it is written down.
type recovered struct {
	*state
	id, was string
}

// Snapshot is the state under its new id.
func (r *recovered) Snapshot() (raft.FSMSnapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kv.Clone()
	k.Leases.RaiseTokenFloor(tokenFloor(0)) // what the others gave may be missing
	var was []string
	if e, ok := k.Entries[kv.PreviousClustersKey]; ok {
		json.Unmarshal(e.Value, &was) // this package wrote it
	}
	for key, v := range map[string]any{kv.ClusterKey: r.id, kv.PreviousClustersKey: append(was, r.was)} {
		text, err := json.Marshal(v)
		if err != nil {
			return nil, err
		}
		k.Entries[key] = kv.Entry{Value: text, ModRevision: k.Applied, CreateRevision: k.Applied, Version: 1}
	}
	return &snapshot{k}, nil
}
