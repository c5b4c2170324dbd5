package raftstorage

import (
	"errors"
	"fmt"
	"runtime"
	"sync"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/storage/durable"
)

// FailStopStorage is a Disk as Raft uses it. The first failure is told to the node, which ends
// Raft. Raft itself would end the whole process when it can't keep a term or read its
// log: the goroutine that asks is ended in place of that, and Raft does nothing more.
type FailStopStorage struct {
	*Storage
	once   sync.Once
	failed func(error)
}

// FailStop has failed called once, on the first failure.
func (d *Storage) FailStop(failed func(error)) *FailStopStorage {
	return &FailStopStorage{Storage: d, failed: failed}
}

func (g *FailStopStorage) tell(err error) error {
	if err != nil {
		g.once.Do(func() { g.failed(err) })
	}
	return err
}

func (g *FailStopStorage) must(err error) error {
	if g.tell(err) != nil {
		runtime.Goexit()
	}
	return nil
}

// Set keeps a stable key, or ends the goroutine.
func (g *FailStopStorage) Set(key, value []byte) error { return g.must(g.Storage.Set(key, value)) }

// SetUint64 keeps a number, or ends the goroutine.
func (g *FailStopStorage) SetUint64(key []byte, n uint64) error {
	return g.must(g.Storage.SetUint64(key, n))
}

// GetLog reads an entry, or ends the goroutine if the disk can't.
func (g *FailStopStorage) GetLog(index uint64, to *raft.Log) error {
	err := g.Storage.GetLog(index, to)
	if err == nil || errors.Is(err, raft.ErrLogNotFound) {
		return err
	}
	return g.must(err)
}

// StoreLog appends one entry.
func (g *FailStopStorage) StoreLog(l *raft.Log) error { return g.tell(g.Storage.StoreLog(l)) }

// StoreLogs appends entries. Raft gives up leadership when it can't.
func (g *FailStopStorage) StoreLogs(logs []*raft.Log) error { return g.tell(g.Storage.StoreLogs(logs)) }

// DeleteRange cuts entries off.
func (g *FailStopStorage) DeleteRange(from, to uint64) error {
	return g.tell(g.Storage.DeleteRange(from, to))
}

// Failed is why nothing can be written any more, or nil.
func (d *Storage) Failed() error { return d.store.Failed() }

// PutLocalUnsynced writes a value of this node's own that need not outlast a loss of power.
func (d *Storage) PutLocalUnsynced(key string, value []byte) error {
	var b durable.Batch
	b.Put([]byte(prefixKept+key), value, 0)
	_, err := d.store.Apply(&b, durable.Buffered)
	return err
}

// Watermark is how far the disk has come, but for the starts.
func (d *Storage) Watermark() (m diskidentity.Watermark, err error) {
	if m.Term, err = d.GetUint64([]byte("CurrentTerm")); err != nil { // Raft's name for it
		return m, fmt.Errorf("term: %w", err)
	}
	for range 3 { // an entry may be cut off between the two looks
		_, last := d.log.Bounds()
		if last == 0 {
			break
		}
		var l raft.Log
		if err = d.GetLog(last, &l); err == nil {
			m.LastTerm, m.LastIndex = l.Term, last
			return m, nil
		}
	}
	if err != nil && !errors.Is(err, raft.ErrLogNotFound) {
		return m, err
	}
	metas, err := d.List()
	if err == nil && len(metas) > 0 {
		m.LastTerm, m.LastIndex = metas[0].Term, metas[0].Index
	}
	return m, err
}
