package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/storeapi"
)

// proposeTimeoutSlack is how much longer propose waits than Raft's own timeout.
const proposeTimeoutSlack = time.Second

var errNoApplyResult = errors.New("commit: no answer")

// Set writes a key, or deletes it if value is nil, and returns once the write is committed and applied. A
// follower forwards the write to the leader.
func (s *Store) Set(ctx context.Context, key string, value json.RawMessage) error {
	if s.IsLeader() {
		return s.applyCommands(ctx, command{Key: key, Value: value})
	}
	leader, err := s.remoteLeader()
	if err != nil {
		return err
	}
	method := http.MethodPut
	if value == nil {
		method = http.MethodDelete
	}
	return s.peers.client.WithCommitTimeout().CallNode(ctx, leader.Admin, method, "/store/"+key, value, nil)
}

func (s *Store) applyCommands(ctx context.Context, list ...command) error {
	request := requestFromCommands(list)
	if err := request.Validate(); err != nil {
		return err
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("encode commands: %w", err)
	}
	_, err = s.propose(ctx, encoded, addedBytes(request))
	return err
}

// Execute commits a request. It returns ErrNoLeader on any node but the leader. After any other error that
// is not one of package kv, the request may already have taken effect or may do so later. A retry in the
// same session takes effect only once.
func (s *Store) Execute(r kv.Request) (kv.Response, error) {
	if err := errors.Join(r.ValidateSize(), r.Validate()); err != nil {
		return kv.Response{}, err
	}
	if !s.IsLeader() {
		return kv.Response{}, ErrNoLeader
	}
	r.TimeMS = s.logClock.stamp(s.state.timeMS(), time.Now())
	encoded, err := json.Marshal(r)
	if err != nil {
		return kv.Response{}, fmt.Errorf("encode request: %w", err)
	}
	return s.propose(s.ctx, encoded, addedBytes(&r))
}

// ExecuteOrForward executes a request on the leader; a follower forwards the request to the leader once.
// It returns the errors of Execute as far as the leader's response identifies them: a lost lease is
// kv.ErrFenced on every node.
func (s *Store) ExecuteOrForward(ctx context.Context, r kv.Request) (response kv.Response, err error) {
	if s.IsLeader() {
		return s.Execute(r)
	}
	leader, err := s.remoteLeader()
	if err != nil {
		return response, err
	}
	encoded, err := json.Marshal(r)
	if err != nil {
		return response, fmt.Errorf("encode request: %w", err)
	}
	err = s.peers.client.WithCommitTimeout().CallNode(ctx, leader.Admin, http.MethodPost, "/txn", encoded, &response)
	return response, asFencedError(err)
}

// asFencedError converts a leader's response to a transaction to kv.ErrFenced if its status is 412. No
// other error of a transaction has this status.
func asFencedError(err error) error {
	var statusErr *storeapi.StatusError
	if errors.As(err, &statusErr) && statusErr.StatusCode == http.StatusPreconditionFailed {
		detail := strings.TrimPrefix(statusErr.Text, kv.ErrFenced.Error()+": ")
		return fmt.Errorf("%w: %s", kv.ErrFenced, detail)
	}
	return err
}

// propose appends an entry to the log and waits until it is committed and applied. size is the maximum
// number of bytes that it adds to the state.
func (s *Store) propose(ctx context.Context, encoded []byte, size int) (kv.Response, error) {
	inc, err := s.running()
	if err != nil {
		return kv.Response{}, err
	}
	stored := 0
	if size > 0 { // a full store accepts a delete
		stored = s.state.valueBytes()
	}
	if err := s.pending.reserve(size, stored); err != nil {
		return kv.Response{}, err
	}
	defer s.pending.release(size)
	ctx, cancel := context.WithTimeout(ctx, storeapi.CommitTimeout+proposeTimeoutSlack)
	defer cancel()
	future := inc.raft.Apply(encoded, storeapi.CommitTimeout)
	if err := awaitFuture(ctx, future); err != nil {
		return kv.Response{}, fmt.Errorf("commit: %w", err)
	}
	result, ok := future.Response().(applyResult)
	if !ok {
		return kv.Response{}, errNoApplyResult
	}
	return result.response, result.err
}
