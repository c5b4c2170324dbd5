package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/storeapi"
)

// What a node holds of writes that are not committed yet.
const (
	maxPendingWrites = 512     // of the leader
	maxPendingBytes  = 8 << 20 // of them
	// MaxTotalBytes is what all keys and values may come to. The leader sees to it; the
	// state itself takes what is in the log.
	MaxTotalBytes = 32 << 20
)

// ErrTooManyWrites means that too many writes are waiting; nothing was done.
var ErrTooManyWrites = errors.New("too many writes are waiting")

// pendingWrites counts what this node, as leader, has proposed and not heard of again.
type pendingWrites struct {
	mu    sync.Mutex
	count int
	bytes int
}

func (w *pendingWrites) reserve(n, stored int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.count >= maxPendingWrites || w.bytes+n > maxPendingBytes:
		return fmt.Errorf("%w: %d of %d bytes", ErrTooManyWrites, w.count, w.bytes)
	case n > 0 && stored+w.bytes+n > MaxTotalBytes:
		return fmt.Errorf("%w: %d bytes, at most %d", kv.ErrFull, stored, MaxTotalBytes)
	}
	w.count++
	w.bytes += n
	return nil
}

func (w *pendingWrites) release(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count--
	w.bytes -= n
}

// Set writes a key; a nil value deletes it. It is done when most nodes have it.
func (s *Store) Set(ctx context.Context, key string, value json.RawMessage) error {
	if s.IsLeader() {
		return s.applyCommands(ctx, command{Key: key, Value: value})
	}
	p, _, ok := s.Leader()
	if !ok || p.Name == s.self.Name {
		return ErrNoLeader
	}
	method := http.MethodPut
	if value == nil {
		method = http.MethodDelete
	}
	return s.peers.client.WithLongTimeout().CallNode(ctx, p.Admin, method, "/store/"+key, value, nil)
}

func (s *Store) applyCommands(ctx context.Context, list ...command) error {
	if err := requestFromCommands(list).Validate(); err != nil {
		return err
	}
	text, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("encode commands: %w", err)
	}
	_, err = s.propose(ctx, text, addedBytes(requestFromCommands(list)))
	return err
}

// Execute carries a request out; only the leader can. An error that is none of kv's leaves
// open whether it was, or will be: repeated in its session, it takes effect once.
func (s *Store) Execute(r kv.Request) (kv.Response, error) {
	if err := errors.Join(r.ValidateSize(), r.Validate()); err != nil {
		return kv.Response{}, err
	}
	if !s.IsLeader() {
		return kv.Response{}, ErrNoLeader
	}
	r.TimeMS = time.Now().UnixMilli()
	text, err := json.Marshal(r)
	if err != nil {
		return kv.Response{}, fmt.Errorf("encode request: %w", err)
	}
	return s.propose(s.ctx, text, addedBytes(&r))
}

// ExecuteAnywhere is Do at any node: the leader is asked, once.
func (s *Store) ExecuteAnywhere(ctx context.Context, r kv.Request) error {
	if s.IsLeader() {
		_, err := s.Execute(r)
		return err
	}
	p, _, ok := s.Leader()
	if !ok || p.Name == s.self.Name {
		return ErrNoLeader
	}
	text, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	return s.peers.client.WithLongTimeout().CallNode(ctx, p.Admin, http.MethodPost, "/txn", text, nil)
}

// Sessions is how many are open, as this node knows it.
func (s *Store) Sessions() int {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return len(s.state.data.Sessions)
}

// addedBytes is what a request may add to the store.
func addedBytes(r *kv.Request) int {
	then, other := 0, 0
	for _, o := range r.Then {
		then += len(o.Value)
	}
	for _, o := range r.Else {
		other += len(o.Value)
	}
	return max(then, other)
}

func (s *Store) propose(ctx context.Context, text []byte, size int) (kv.Response, error) {
	l, err := s.running()
	if err != nil {
		return kv.Response{}, err
	}
	stored := 0
	if size > 0 { // deletes make room
		stored = s.state.valueBytes()
	}
	if err := s.pending.reserve(size, stored); err != nil {
		return kv.Response{}, err
	}
	defer s.pending.release(size)
	ctx, cancel := context.WithTimeout(ctx, storeapi.CommitTimeout+time.Second)
	defer cancel()
	f := l.raft.Apply(text, storeapi.CommitTimeout)
	if err := awaitFuture(ctx, f); err != nil {
		return kv.Response{}, fmt.Errorf("commit: %w", err)
	}
	out, ok := f.Response().(applyResult)
	if !ok {
		return kv.Response{}, errors.New("commit: no answer")
	}
	return out.answer, out.err
}
