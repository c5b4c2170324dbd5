package store

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/raftstorage"
)

var errNothingToRecover = errors.New("the folder has no log entries to recover")

// RecoveryReport describes what a stopped node's storage folder holds of a cluster.
type RecoveryReport struct {
	Node      string                 `json:"node"`
	ID        string                 `json:"id"`
	Cluster   string                 `json:"cluster"`
	Watermark diskidentity.Watermark `json:"mark"`
	Keys      int                    `json:"keys"`
	Members   []string               `json:"members"`
	Voters    []string               `json:"voters"`
	// LastObserved is the last watermark that this node has observed of each other member's disk.
	LastObserved map[string]diskidentity.Watermark `json:"seen"`
	// Missing describes the entries that other members had and this node lacks, as far as it knows.
	Missing []string `json:"missing,omitempty"`
	// NewCluster is the ID that Recover assigned to the new cluster.
	NewCluster string `json:"new_cluster,omitempty"`
}

// stoppedNode is the open storage folder of a stopped node.
type stoppedNode struct {
	storage *raftstorage.Storage
	report  RecoveryReport
}

// openStoppedNode opens and reads a storage folder. This increments the disk's start count.
func openStoppedNode(cfg Config) (*stoppedNode, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	storage, _, err := openFolder(cfg.Dir)
	if err != nil {
		return nil, fmt.Errorf("dir: %w", err)
	}
	report, err := readRecoveryReport(cfg, storage)
	if err != nil {
		storage.Close()
		return nil, err
	}
	return &stoppedNode{storage: storage, report: report}, nil
}

func readRecoveryReport(cfg Config, storage *raftstorage.Storage) (report RecoveryReport, err error) {
	self, _ := cfg.self()
	s := &Store{cfg: cfg, self: self, log: zap.NewNop()}
	cluster, err := readClusterID(storage)
	if err != nil {
		return report, err
	}
	s.clusterID.set(cluster)
	disk, err := s.readDiskState(storage)
	if err != nil {
		return report, err
	}
	if disk.local.Empty {
		return report, errNothingToRecover
	}
	observed, err := readWatermarks(storage)
	if err != nil {
		return report, err
	}
	state := newReplicatedState()
	if err := replayLog(storage, state); err != nil {
		return report, err
	}
	entries, _ := state.entries()
	report = RecoveryReport{
		Node:         self.Name,
		ID:           disk.local.ID,
		Cluster:      cmp.Or(cluster, disk.local.LoggedCluster),
		Watermark:    disk.local.Watermark,
		Keys:         len(entries),
		Members:      disk.local.Members,
		Voters:       disk.local.Voters,
		LastObserved: map[string]diskidentity.Watermark{},
	}
	report.compareWatermarks(observed)
	return report, nil
}

// compareWatermarks fills in LastObserved, and Missing for members whose log was ahead of this node's.
func (r *RecoveryReport) compareWatermarks(observed watermarks) {
	local := r.Watermark
	for id, watermark := range observed {
		if !slices.Contains(r.Members, id) {
			continue
		}
		r.LastObserved[id] = watermark
		if watermark.CompareLog(local) > 0 {
			r.Missing = append(r.Missing, fmt.Sprintf("%s had entries up to %d of term %d, this node up to %d of term %d",
				id, watermark.LastIndex, watermark.LastTerm, local.LastIndex, local.LastTerm))
		}
	}
	slices.Sort(r.Missing)
}

// replayLog applies the newest snapshot and the log entries after it.
func replayLog(storage *raftstorage.Storage, state *replicatedState) error {
	first, err := restoreNewestSnapshot(storage, state)
	if err != nil {
		return err
	}
	last, err := storage.LastIndex()
	if err != nil {
		return err
	}
	for i := first; i <= last; i++ {
		var entry raft.Log
		if err := storage.GetLog(i, &entry); err != nil {
			return err
		}
		if entry.Type == raft.LogCommand {
			state.Apply(&entry)
		}
	}
	return nil
}

// restoreNewestSnapshot restores the newest snapshot, if any. It returns the index of the first log entry
// after the snapshot.
func restoreNewestSnapshot(storage *raftstorage.Storage, state *replicatedState) (first uint64, err error) {
	metas, err := storage.List()
	if err != nil {
		return 0, err
	}
	if len(metas) == 0 {
		return 1, nil
	}
	newest := metas[0]
	_, reader, err := storage.Open(newest.ID)
	if err != nil {
		return 0, err
	}
	if err := state.Restore(reader); err != nil {
		return 0, err
	}
	return newest.Index + 1, nil
}
