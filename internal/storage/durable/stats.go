package durable

import "sync/atomic"

// counters are counted from the time the store was opened.
type counters struct {
	batches         atomic.Int64
	syncs           atomic.Int64
	groups          atomic.Int64
	rejectedFull    atomic.Int64
	checkpoints     atomic.Int64
	compactions     atomic.Int64
	droppedSegments atomic.Int64
	movedBytes      atomic.Int64
}

// Stats are statistics of an open store.
type Stats struct {
	Seq                     uint64 `json:"seq"`    // sequence number of the last batch that readers see
	SyncedSeq               uint64 `json:"synced"` // sequence number of the last batch on disk
	Keys                    int    `json:"keys"`
	KeysOnDisk              int64  `json:"keys_on_disk"` // number of keys whose value is not in memory
	LiveBytes               int64  `json:"live_bytes"`
	UsedBytes               int64  `json:"used_bytes"` // length of all files
	MaxBytes                int64  `json:"max_bytes"`
	Segments                int    `json:"segments"`
	DeadBytes               int64  `json:"dead_bytes"` // dead bytes in sealed segments
	LogBytesSinceCheckpoint int64  `json:"log_behind_bytes"`
	CheckpointBytes         int64  `json:"checkpoint_bytes"` // length of the newest checkpoint
	// Counters since the store was opened.
	Batches         int64 `json:"batches"`
	Syncs           int64 `json:"syncs"`
	Groups          int64 `json:"groups"`
	RejectedFull    int64 `json:"turned_away_full"` // batches rejected for lack of disk space
	Checkpoints     int64 `json:"checkpoints"`
	Compactions     int64 `json:"compactions"`
	DroppedSegments int64 `json:"segments_dropped"`
	MovedBytes      int64 `json:"moved_bytes"` // bytes that compactions wrote
	// Current state.
	Snapshots        int    `json:"snapshots"`
	ReadOnlyReason   string `json:"read_only,omitempty"`
	MaintenanceError string `json:"upkeep_error,omitempty"` // error of the last maintenance step
}

// Stats returns the current statistics.
func (s *Store) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	stats := Stats{
		Seq:                     s.seq,
		SyncedSeq:               s.syncedSeq,
		Keys:                    s.index.tree.Len(),
		KeysOnDisk:              s.index.valuesOnDisk,
		LiveBytes:               s.index.liveBytes,
		UsedBytes:               s.usedBytes.Load(),
		MaxBytes:                s.options.Maintenance.MaxBytes,
		Segments:                len(s.index.segments),
		LogBytesSinceCheckpoint: s.logBytesSinceCheckpoint.Load(),
		CheckpointBytes:         s.checkpointBytes.Load(),
		Batches:                 s.stats.batches.Load(),
		Syncs:                   s.stats.syncs.Load(),
		Groups:                  s.stats.groups.Load(),
		RejectedFull:            s.stats.rejectedFull.Load(),
		Checkpoints:             s.stats.checkpoints.Load(),
		Compactions:             s.stats.compactions.Load(),
		DroppedSegments:         s.stats.droppedSegments.Load(),
		MovedBytes:              s.stats.movedBytes.Load(),
		Snapshots:               len(s.snapshots),
	}
	for _, segment := range s.index.segments {
		if segment.sealed {
			stats.DeadBytes += segment.size - segment.liveBytes
		}
	}
	if s.readOnlyErr != nil {
		stats.ReadOnlyReason = s.readOnlyErr.Error()
	}
	if err := s.maintenance.lastError(); err != nil {
		stats.MaintenanceError = err.Error()
	}
	return stats
}
