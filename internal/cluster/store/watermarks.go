package store

import (
	"encoding/json"
	"fmt"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/raftstorage"
)

const (
	watermarkSaveInterval = time.Second
	// maxWatermarks bounds the disks whose watermarks are recorded. This node does not detect an outdated
	// copy of any other disk.
	maxWatermarks = 256
)

// watermarks are the highest watermarks that this node has observed of other disks, by member ID.
type watermarks map[string]diskidentity.Watermark

// observe raises a disk's watermark, and reports whether that changed it.
func (w watermarks) observe(memberID string, watermark diskidentity.Watermark) bool {
	old, known := w[memberID]
	raised := old.Max(watermark)
	if raised == old || !known && len(w) >= maxWatermarks {
		return false
	}
	w[memberID] = raised
	return true
}

// readWatermarks reads the watermarks that saveWatermarks wrote.
func readWatermarks(storage *raftstorage.Storage) (watermarks, error) {
	w := watermarks{}
	encoded, err := storage.GetLocal(peerWatermarksKey)
	if err == nil && encoded != nil {
		err = json.Unmarshal(encoded, &w)
	}
	if err != nil {
		return nil, fmt.Errorf("watermarks of peers: %w", err)
	}
	return w, nil
}

// loadWatermarks adds the watermarks that were saved on this node's disk.
func (p *peerPoller) loadWatermarks(saved watermarks) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, watermark := range saved {
		p.observed[id] = p.observed[id].Max(watermark)
	}
}

// saveWatermarks writes the observed watermarks to this node's disk if they have changed.
func (p *peerPoller) saveWatermarks(inc *incarnation) {
	encoded := p.takeUnsaved()
	if encoded == nil {
		return
	}
	if err := inc.storage.PutLocalUnsynced(peerWatermarksKey, encoded); err != nil {
		p.store.log.Warn("peer watermarks not saved", zap.Error(err))
	}
}

func (p *peerPoller) takeUnsaved() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.unsaved {
		return nil
	}
	p.unsaved = false
	encoded, _ := json.Marshal(p.observed) // cannot fail: watermarks consist of integers
	return encoded
}

// observedWatermark returns the highest observed watermark of a disk, or nil if the disk was never
// observed.
func (p *peerPoller) observedWatermark(memberID string) *diskidentity.Watermark {
	p.mu.Lock()
	defer p.mu.Unlock()
	if watermark, ok := p.observed[memberID]; ok {
		return &watermark
	}
	return nil
}
