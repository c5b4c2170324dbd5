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

// Guard is a Disk as Raft uses it. The first failure is told to the node, which ends
// Raft. Raft itself would end the whole process when it can't keep a term or read its
// log: the goroutine that asks is ended in place of that, and Raft does nothing more.
type Guard struct {
	*Disk
	once   sync.Once
	failed func(error)
}

// Guarded has failed called once, on the first failure.
func (d *Disk) Guarded(failed func(error)) *Guard { return &Guard{Disk: d, failed: failed} }

func (g *Guard) tell(err error) error {
	if err != nil {
		g.once.Do(func() { g.failed(err) })
	}
	return err
}

func (g *Guard) must(err error) error {
	if g.tell(err) != nil {
		runtime.Goexit()
	}
	return nil
}

// Set keeps a stable key, or ends the goroutine.
func (g *Guard) Set(key, value []byte) error { return g.must(g.Disk.Set(key, value)) }

// SetUint64 keeps a number, or ends the goroutine.
func (g *Guard) SetUint64(key []byte, n uint64) error { return g.must(g.Disk.SetUint64(key, n)) }

// GetLog reads an entry, or ends the goroutine if the disk can't.
func (g *Guard) GetLog(index uint64, to *raft.Log) error {
	err := g.Disk.GetLog(index, to)
	if err == nil || errors.Is(err, raft.ErrLogNotFound) {
		return err
	}
	return g.must(err)
}

// StoreLog appends one entry.
func (g *Guard) StoreLog(l *raft.Log) error { return g.tell(g.Disk.StoreLog(l)) }

// StoreLogs appends entries. Raft gives up leadership when it can't.
func (g *Guard) StoreLogs(logs []*raft.Log) error { return g.tell(g.Disk.StoreLogs(logs)) }

// DeleteRange cuts entries off.
func (g *Guard) DeleteRange(from, to uint64) error { return g.tell(g.Disk.DeleteRange(from, to)) }

// Failed is why nothing can be written any more, or nil.
func (d *Disk) Failed() error { return d.store.Failed() }

// KeepSoon writes a value of this node's own that need not outlast a loss of power.
func (d *Disk) KeepSoon(key string, value []byte) error {
	var b durable.Batch
	b.Put([]byte(prefixKept+key), value, 0)
	_, err := d.store.Apply(&b, durable.Buffered)
	return err
}

// Mark is how far the disk has come, but for the starts.
func (d *Disk) Mark() (m diskidentity.Mark, err error) {
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
