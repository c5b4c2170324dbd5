package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/kv"
)

// Inspect reads the storage folder of a stopped node.
func Inspect(cfg Config) (report RecoveryReport, err error) {
	node, err := openStoppedNode(cfg)
	if err != nil {
		return report, err
	}
	return node.report, node.storage.Close()
}

// Recover turns the storage folder of a stopped node into a cluster with that node as its only member. It
// is for the case that the majority is lost permanently. The caller confirms the recovery with the old
// cluster's ID; otherwise Recover returns ErrNotConfirmed. The new cluster has a new ID, which the members
// of the old cluster cannot rejoin. All entries in this node's log become committed.
func Recover(cfg Config, confirmedClusterID string) (report RecoveryReport, err error) {
	node, err := openStoppedNode(cfg)
	if err != nil {
		return report, err
	}
	defer func() { err = errors.Join(err, node.storage.Close()) }()
	report = node.report
	if confirmedClusterID != report.Cluster || confirmedClusterID == "" {
		return report, fmt.Errorf("%w: the folder belongs to cluster %q", ErrNotConfirmed, report.Cluster)
	}
	self, _ := cfg.self()
	id, err := renewDiskID(node.storage, self.Name)
	if err != nil {
		return report, err
	}
	report.ID = id
	report.NewCluster = randomHex(clusterIDBytes)
	if err := node.rewriteLog(self, report); err != nil {
		return report, fmt.Errorf("rewrite log for the new cluster: %w", err)
	}
	if err := node.storage.PutLocal(kv.ClusterIDKey, []byte(report.NewCluster)); err != nil {
		return report, fmt.Errorf("save cluster id: %w", err)
	}
	return report, nil
}

// rewriteLog replaces the log with a snapshot of its state and a configuration with this node as the only
// member.
func (n *stoppedNode) rewriteLog(self Peer, report RecoveryReport) error {
	conf := raft.DefaultConfig()
	conf.LocalID = raft.ServerID(report.ID)
	conf.Logger = hclog.New(&hclog.LoggerOptions{Output: io.Discard})
	_, transport := raft.NewInmemTransport("")
	members := raft.Configuration{Servers: []raft.Server{{ID: conf.LocalID, Address: encodeAddress(self, report.ID)}}}
	state := &recoveredState{replicatedState: newReplicatedState(), clusterID: report.NewCluster, previousCluster: report.Cluster}
	return raft.RecoverCluster(conf, state, n.storage, n.storage, n.storage, transport, members)
}

// recoveredState is a state machine whose snapshot has another cluster's ID.
type recoveredState struct {
	*replicatedState
	clusterID       string
	previousCluster string
}

// Snapshot returns the state with the new cluster's ID.
func (r *recoveredState) Snapshot() (raft.FSMSnapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data := r.data.Clone()
	data.Leases.RaiseTokenFloor(tokenFloor(0)) // the log may lack the latest tokens that the old cluster granted
	var previous []string
	if e, ok := data.Entries[kv.PreviousClustersKey]; ok {
		json.Unmarshal(e.Value, &previous) // always valid JSON written by this package
	}
	previous = append(previous, r.previousCluster)
	for key, value := range map[string]any{kv.ClusterIDKey: r.clusterID, kv.PreviousClustersKey: previous} {
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		data.Entries[key] = kv.Entry{Value: encoded, ModRevision: data.AppliedIndex, CreateRevision: data.AppliedIndex, Version: 1}
	}
	return &snapshot{data}, nil
}
