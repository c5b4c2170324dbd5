package durable

import (
	"strings"

	"oxbowbridge/internal/storage/durable/vfs"
)

// View is the state that recovery of a folder gives, read without changing the folder.
type View struct {
	recovery *recovery
	// Report lists the faults of the folder. Verify and ReportUnreadable add to it.
	Report *Report
}

// Inspect reads a folder, damaged or not. The caller holds the folder's lock.
func Inspect(fsys vfs.FS, o Options) (*View, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	r, err := recoverFrom(fsys, &o)
	if err != nil {
		return nil, err
	}
	return &View{r, r.report}, nil
}

// Scan visits all keys that have not expired at now, in ascending order, until visit
// returns false.
func (v *View) Scan(now int64, visit func(Item) bool) {
	if v.recovery.index == nil {
		return
	}
	scanTree(v.recovery.index.tree, "", "", now, func(e indexEntry) bool {
		return visit(newItem(e, v.recovery.index.segments[e.segment]))
	})
}

// ReportUnreadable adds the error of Item.Value to the report.
func (v *View) ReportUnreadable(i Item, err error) {
	if !i.Lost {
		v.Report.LostKeys++
	}
	v.Report.addFault(err)
}

// Uninitialized reports whether no batch was ever acknowledged in the folder.
func (v *View) Uninitialized() bool { return v.recovery.uninitialized }

// FolderStats are statistics of a folder whose store is not open.
type FolderStats struct {
	*Report
	UsedBytes               int64 `json:"used_bytes"` // length of all files
	LiveBytes               int64 `json:"live_bytes"`
	KeysOnDisk              int64 `json:"keys_on_disk"` // number of keys whose value would not be in memory
	LogBytesSinceCheckpoint int64 `json:"log_behind_bytes"`
	QuarantinedFiles        int   `json:"files_set_aside"` // files that repairs renamed with the prefix "damaged-"
}

// Stats returns the statistics of the folder.
func (v *View) Stats() FolderStats {
	stats := FolderStats{Report: v.Report, LogBytesSinceCheckpoint: v.recovery.logBytesSinceCheckpoint}
	for name, size := range v.recovery.files {
		stats.UsedBytes += size
		if strings.HasPrefix(name, quarantinePrefix) {
			stats.QuarantinedFiles++
		}
	}
	if v.recovery.index != nil {
		stats.LiveBytes = v.recovery.index.liveBytes
		stats.KeysOnDisk = v.recovery.index.valuesOnDisk
	}
	return stats
}

// Close closes the segment files.
func (v *View) Close() { v.recovery.close() }
