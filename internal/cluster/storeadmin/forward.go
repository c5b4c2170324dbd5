package storeadmin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/cluster/storeapi"
)

const (
	forwardTimeout      = storeapi.CommitTimeout + time.Second // for all attempts of one request
	leaderPollInterval  = 20 * time.Millisecond                // how soon another leader is noticed
	leaderlessTimeout   = 1500 * time.Millisecond              // for which a request waits while no leader can be asked
	maxForwardedBytes   = kv.MaxOps * 2 * kv.MaxValueBytes     // of an answer that is relayed
	maxForwardedError   = 1 << 10                              // bytes of an answer of 503 that are read
	headerForwarded     = "Forwarded"                          // by the node that forwards a request
	pathRestore         = "/restore"
	leasePathsWithNames = "/lease/"
)

// errLeaderChanged cancels a forwarded request when another node leads.
var errLeaderChanged = errors.New("another node leads now; whether this was carried out is not known")

// forward has the leader answer a request, if that is another node; done reports whether it did. The
// answer is not waited for once another node leads. A request that is repeatable, such as a write
// in a session, is then sent to the next leader until forwardTimeout; of any other it is unknown
// whether it was carried out. If done is false and there is no error, this node leads.
func (s *server) forward(w http.ResponseWriter, r *http.Request, body []byte, repeatable bool) (done bool, err error) {
	return s.forwardWithin(w, r, body, repeatable, forwardTimeout)
}

// forwardWithin forwards a request with another timeout for all attempts. A longer one is for requests
// that wait for a lease.
func (s *server) forwardWithin(w http.ResponseWriter, r *http.Request, body []byte, repeatable bool, timeout time.Duration) (done bool, err error) {
	if s.store.IsLeader() {
		return false, nil
	}
	if err := s.checkForwardable(r); err != nil {
		return false, err
	}
	limit := s.forwards
	if timeout > forwardTimeout { // a request that waits takes no write's place
		limit = s.leaseWaits
	}
	if !limit.tryAcquire() {
		return false, unavailable(errTooManyRequests)
	}
	defer limit.release()
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	var leaderlessSince time.Time // since when no leader could be asked; zero if the last one was
	for {
		res, sent, err := s.askLeader(ctx, r, body)
		switch {
		case sent:
			leaderlessSince = time.Time{}
		case leaderlessSince.IsZero():
			leaderlessSince = time.Now()
		case time.Since(leaderlessSince) > leaderlessTimeout:
			cancel()
		}
		if err == nil {
			retry := res.StatusCode == http.StatusServiceUnavailable && repeatable && ctx.Err() == nil
			if !retry {
				relay(w, res)
				return true, nil
			}
			err = readError(res)
		}
		if sent && !repeatable || ctx.Err() != nil {
			return false, unavailable(fmt.Errorf("ask leader: %w", err))
		}
		select {
		case <-ctx.Done():
			return false, unavailable(fmt.Errorf("ask leader: %w", err))
		case <-time.After(leaderPollInterval):
		}
		if s.store.IsLeader() {
			return false, nil
		}
	}
}

// checkForwardable rejects a request that another node has forwarded, or two nodes that take each
// other for the leader would forward it for ever; and any request while this node takes no part.
func (s *server) checkForwardable(r *http.Request) error {
	if r.Header.Get(headerForwarded) != "" {
		return unavailable(store.ErrNoLeader)
	}
	if reason := s.store.WaitReason(); reason != "" {
		return unavailable(fmt.Errorf("%w: it waits for %s", store.ErrNotServing, reason))
	}
	return nil
}

// askLeader sends a request to the present leader and waits for the answer until another node
// leads. sent is false if nothing can have reached a leader.
func (s *server) askLeader(ctx context.Context, r *http.Request, body []byte) (res *http.Response, sent bool, err error) {
	leader, leaderID, ok := s.store.Leader()
	if !ok || leader.Name == s.store.Name() {
		return nil, false, store.ErrNoLeader
	}
	ctx, cancel := context.WithCancelCause(ctx)
	answered := make(chan struct{})
	defer close(answered)
	go s.cancelOnNewLeader(ctx, cancel, leaderID, answered)
	req, err := s.forwardedRequest(ctx, r, leader.Admin, body)
	if err != nil {
		return nil, false, err
	}
	client := s.client
	if r.URL.Path == pathRestore || strings.HasPrefix(r.URL.Path, leasePathsWithNames) {
		client = s.slowClient
	}
	res, err = client.Do(req)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, true, err
	}
	return res, true, nil
}

// cancelOnNewLeader cancels a request to a leader when another node leads.
func (s *server) cancelOnNewLeader(ctx context.Context, cancel context.CancelCauseFunc, leaderID string, answered <-chan struct{}) {
	tick := time.NewTicker(leaderPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-answered:
			return
		case <-ctx.Done():
			return
		case <-tick.C:
			if _, present, ok := s.store.Leader(); ok && present != leaderID {
				cancel(errLeaderChanged)
				return
			}
		}
	}
}

// forwardedRequest returns a copy of a request, for the leader's admin address.
func (s *server) forwardedRequest(ctx context.Context, r *http.Request, address string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if id := s.store.ClusterID(); id != "" {
		req.Header.Set(storeapi.HeaderCluster, id)
	}
	copyHeaders(req.Header, r.Header, "If-Match", "If-None-Match", storeapi.HeaderSession, storeapi.HeaderRequestNumber)
	for _, fence := range r.Header.Values(storeapi.HeaderLease) {
		req.Header.Add(storeapi.HeaderLease, fence)
	}
	req.Header.Set(headerForwarded, "by="+s.store.Name())
	return req, nil
}

// relay answers with the leader's answer.
func relay(w http.ResponseWriter, res *http.Response) {
	defer res.Body.Close()
	copyHeaders(w.Header(), res.Header, "ETag", "Retry-After", "Content-Type")
	w.WriteHeader(res.StatusCode)
	io.Copy(w, io.LimitReader(res.Body, maxForwardedBytes))
}

// readError returns the leader's answer as an error.
func readError(res *http.Response) error {
	defer res.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(res.Body, maxForwardedError))
	return storeapi.NewStatusError(res.StatusCode, body)
}

func copyHeaders(to, from http.Header, names ...string) {
	for _, name := range names {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}
