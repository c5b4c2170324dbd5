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

// Inspect reads the folder of a stopped node.
func Inspect(cfg Config) (report RecoveryReport, err error) {
	node, err := openStopped(cfg)
	if err != nil {
		return report, err
	}
	return node.report, node.storage.Close()
}

// Recover makes a cluster of one member of the folder of a stopped node, for the case that the
// majority is lost for good. It has to be confirmed with the old cluster's ID, or is
// ErrNotConfirmed. The new cluster has another ID, and the old members can't come back into it.
// Whatever is in this node's log counts as committed.
func Recover(cfg Config, cluster string) (report RecoveryReport, err error) {
	node, err := openStopped(cfg)
	if err != nil {
		return report, err
	}
	defer func() { err = errors.Join(err, node.storage.Close()) }()
	report = node.report
	if cluster != report.Cluster || cluster == "" {
		return report, fmt.Errorf("%w: this is of cluster %q", ErrNotConfirmed, report.Cluster)
	}
	self, _ := cfg.self()
	id, err := renewDiskID(node.storage, self.Name)
	if err != nil {
		return report, err
	}
	report.ID = id
	report.NewCluster = randomHex(clusterIDBytes)
	if err := node.rewrite(self, report); err != nil {
		return report, fmt.Errorf("recover: %w", err)
	}
	if err := node.storage.PutLocal(kv.ClusterIDKey, []byte(report.NewCluster)); err != nil {
		return report, fmt.Errorf("keep cluster id: %w", err)
	}
	return report, nil
}

// rewrite replaces the log by a snapshot of its state, with this node as the only member.
func (n *stoppedNode) rewrite(self Peer, report RecoveryReport) error {
	conf := raft.DefaultConfig()
	conf.LocalID = raft.ServerID(report.ID)
	conf.Logger = hclog.New(&hclog.LoggerOptions{Output: io.Discard})
	_, transport := raft.NewInmemTransport("")
	members := raft.Configuration{Servers: []raft.Server{{ID: conf.LocalID, Address: encodeAddress(self, report.ID)}}}
	state := &recoveredState{replicatedState: newReplicatedState(), clusterID: report.NewCluster, previousCluster: report.Cluster}
	return raft.RecoverCluster(conf, state, n.storage, n.storage, n.storage, transport, members)
}

// recoveredState is a state whose snapshot has another cluster's ID.
type recoveredState struct {
	*replicatedState
	clusterID       string
	previousCluster string
}

// Snapshot is the state under its new ID.
func (r *recoveredState) Snapshot() (raft.FSMSnapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data := r.data.Clone()
	data.Leases.RaiseTokenFloor(tokenFloor(0)) // the log may lack tokens that others gave
	var previous []string
	if e, ok := data.Entries[kv.PreviousClustersKey]; ok {
		json.Unmarshal(e.Value, &previous) // this package wrote it
	}
	previous = append(previous, r.previousCluster)
	for key, value := range map[string]any{kv.ClusterIDKey: r.clusterID, kv.PreviousClustersKey: previous} {
		text, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		data.Entries[key] = kv.Entry{Value: text, ModRevision: data.AppliedIndex, CreateRevision: data.AppliedIndex, Version: 1}
	}
	return &snapshot{data}, nil
}
