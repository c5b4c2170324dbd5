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
	// maxWatermarks is of how many disks a watermark is remembered. This node does not notice an older
	// copy of a disk beyond them.
	maxWatermarks = 256
)

// watermarks is how far this node has observed other disks, by member ID.
type watermarks map[string]diskidentity.Watermark

// observe raises a disk's watermark, and reports whether that changed anything.
func (w watermarks) observe(memberID string, mark diskidentity.Watermark) bool {
	old, known := w[memberID]
	raised := old.Max(mark)
	if raised == old || !known && len(w) >= maxWatermarks {
		return false
	}
	w[memberID] = raised
	return true
}

// readWatermarks reads what saveWatermarks wrote.
func readWatermarks(storage *raftstorage.Storage) (watermarks, error) {
	w := watermarks{}
	text, err := storage.GetLocal(peerWatermarksKey)
	if err == nil && text != nil {
		err = json.Unmarshal(text, &w)
	}
	if err != nil {
		return nil, fmt.Errorf("watermarks of peers: %w", err)
	}
	return w, nil
}

// loadWatermarks adds what this node's disk remembers of other disks.
func (p *peerPoller) loadWatermarks(saved watermarks) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, mark := range saved {
		p.observed[id] = p.observed[id].Max(mark)
	}
}

// saveWatermarks writes what was observed to this node's disk, if it has changed.
func (p *peerPoller) saveWatermarks(inc *incarnation) {
	text := p.takeUnsaved()
	if text == nil {
		return
	}
	if err := inc.storage.PutLocalUnsynced(peerWatermarksKey, text); err != nil {
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
	text, _ := json.Marshal(p.observed) // numbers by names: it can't fail
	return text
}

// observedWatermark is how far a disk has been observed; nil if it never was.
func (p *peerPoller) observedWatermark(memberID string) *diskidentity.Watermark {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mark, ok := p.observed[memberID]; ok {
		return &mark
	}
	return nil
}
