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
	forwardTimeout     = storeapi.CommitTimeout + time.Second // timeout for all attempts of one request together
	leaderPollInterval = 20 * time.Millisecond                // interval of the checks for a new leader
	leaderlessTimeout  = 1500 * time.Millisecond              // maximum wait of a request while no leader can be reached
	maxRelayedBytes    = kv.MaxOps * 2 * kv.MaxValueBytes     // maximum size of a relayed response
	maxErrorBodyBytes  = 1 << 10                              // maximum number of bytes read from a 503 response
	headerForwarded    = "Forwarded"                          // header field that a node sets when it forwards a request
	restorePath        = "/restore"
	leasePathPrefix    = "/lease/"
)

// errLeaderChanged is the cause of the cancellation of a forwarded request when another node becomes leader.
var errLeaderChanged = errors.New("another node leads now; whether this was carried out is not known")

// errBecameLeader means that this node has become the leader, so it must execute the request itself.
var errBecameLeader = errors.New("this node leads now")

// forwardOptions configures how a request is forwarded.
type forwardOptions struct {
	idempotent bool          // the request may be sent again when its outcome is unknown
	timeout    time.Duration // timeout for all attempts together
	slots      slots         // a slot is occupied while the request is forwarded
}

// forwardIdempotent forwards a request that may be sent more than once to the leader; see forward.
func (s *server) forwardIdempotent(w http.ResponseWriter, r *http.Request, body []byte) (done bool, err error) {
	return s.forward(w, r, body, forwardOptions{idempotent: true, timeout: forwardTimeout, slots: s.forwardSlots})
}

// forwardOnce forwards a request that must not reach a leader twice; see forward.
func (s *server) forwardOnce(w http.ResponseWriter, r *http.Request, body []byte) (done bool, err error) {
	return s.forward(w, r, body, forwardOptions{idempotent: false, timeout: forwardTimeout, slots: s.forwardSlots})
}

// forwardWrite forwards a write, which is idempotent within a session; session 0 means none. See forward.
func (s *server) forwardWrite(w http.ResponseWriter, r *http.Request, body []byte, session uint64) (done bool, err error) {
	if session == 0 {
		return s.forwardOnce(w, r, body)
	}
	return s.forwardIdempotent(w, r, body)
}

// forwardAcquire forwards a request that waits for a lease for at most maxWait; see forward. A request that may wait
// occupies a slot of its own kind, so that waiting requests don't use up the slots of the others.
func (s *server) forwardAcquire(w http.ResponseWriter, r *http.Request, body []byte, maxWait time.Duration) (done bool, err error) {
	options := forwardOptions{idempotent: true, timeout: forwardTimeout + maxWait, slots: s.forwardSlots}
	if maxWait > 0 {
		options.slots = s.leaseWaitSlots
	}
	return s.forward(w, r, body, options)
}

// forward forwards a request to the leader and relays the response, unless this node is the leader. done reports
// whether a response was relayed; if it is false without an error, this node is the leader and must execute the
// request. When the leader changes, forward stops waiting for the old leader. It then sends an idempotent request to
// the new leader, until the timeout; for any other request it returns an error, since its outcome is unknown.
func (s *server) forward(w http.ResponseWriter, r *http.Request, body []byte, options forwardOptions) (done bool, err error) {
	if s.store.IsLeader() {
		return false, nil
	}
	if err := s.checkForwardable(r); err != nil {
		return false, err
	}
	if !options.slots.tryAcquire() {
		return false, unavailable(errTooManyRequests)
	}
	defer options.slots.release()
	ctx, cancel := context.WithTimeout(r.Context(), options.timeout)
	defer cancel()
	response, err := s.sendToLeaderWithRetries(ctx, r, body, options.idempotent)
	switch {
	case errors.Is(err, errBecameLeader):
		return false, nil
	case err != nil:
		return false, unavailable(fmt.Errorf("ask leader: %w", err))
	}
	relayResponse(w, response)
	return true, nil
}

// sendToLeaderWithRetries sends a request to the leader. It retries an idempotent request until a leader responds with
// a status other than 503, and any request while it can't have reached a leader. It gives up when ctx ends, or when no
// leader could be reached for leaderlessTimeout. The error is errBecameLeader if this node has become the leader.
func (s *server) sendToLeaderWithRetries(ctx context.Context, r *http.Request, body []byte, idempotent bool) (*http.Response, error) {
	var leaderlessSince time.Time // start of the time without a reachable leader; zero while a leader is reachable
	for {
		res, sent, err := s.sendToLeader(ctx, r, body)
		if err == nil {
			retry := res.StatusCode == http.StatusServiceUnavailable && idempotent && ctx.Err() == nil
			if !retry {
				return res, nil
			}
			err = readError(res)
		}
		gaveUp := false
		switch {
		case sent:
			leaderlessSince = time.Time{}
		case leaderlessSince.IsZero():
			leaderlessSince = time.Now()
		default:
			gaveUp = time.Since(leaderlessSince) > leaderlessTimeout
		}
		if sent && !idempotent || gaveUp || ctx.Err() != nil {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(leaderPollInterval):
		}
		if s.store.IsLeader() {
			return nil, errBecameLeader
		}
	}
}

// checkForwardable rejects a request that another node has already forwarded: two nodes that each consider the other
// the leader would forward it in a loop. It also rejects all requests while this node is not serving.
func (s *server) checkForwardable(r *http.Request) error {
	if r.Header.Get(headerForwarded) != "" {
		return unavailable(store.ErrNoLeader)
	}
	if reason := s.store.WaitReason(); reason != "" {
		return unavailable(fmt.Errorf("%w: it waits for %s", store.ErrNotServing, reason))
	}
	return nil
}

// sendToLeader sends a request to the current leader and waits for the response until another node becomes leader.
// sent is false if the request can't have reached a leader.
func (s *server) sendToLeader(ctx context.Context, r *http.Request, body []byte) (res *http.Response, sent bool, err error) {
	leader, leaderID, ok := s.store.Leader()
	if !ok || leader.Name == s.store.Name() {
		return nil, false, store.ErrNoLeader
	}
	ctx, cancel := context.WithCancelCause(ctx)
	done := make(chan struct{})
	defer close(done)
	go s.cancelOnNewLeader(ctx, cancel, leaderID, done)
	req, err := s.forwardedRequest(ctx, r, leader.Admin, body)
	if err != nil {
		return nil, false, err
	}
	res, err = s.forwardingClient(r).Do(req)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, true, err
	}
	return res, true, nil
}

// forwardingClient returns the HTTP client for a forwarded request. Restores and lease requests, which may wait, get
// the longer timeout.
func (s *server) forwardingClient(r *http.Request) *http.Client {
	if r.URL.Path == restorePath || strings.HasPrefix(r.URL.Path, leasePathPrefix) {
		return s.longTimeoutClient
	}
	return s.client
}

// cancelOnNewLeader cancels a request to the leader leaderID when another node becomes leader. It returns when done is
// closed or ctx ends.
func (s *server) cancelOnNewLeader(ctx context.Context, cancel context.CancelCauseFunc, leaderID string, done <-chan struct{}) {
	tick := time.NewTicker(leaderPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-ctx.Done():
			return
		case <-tick.C:
			if _, currentID, ok := s.store.Leader(); ok && currentID != leaderID {
				cancel(errLeaderChanged)
				return
			}
		}
	}
}

// forwardedRequest returns the copy of a request that is sent to the leader's admin address.
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

// relayResponse responds with the leader's response.
func relayResponse(w http.ResponseWriter, res *http.Response) {
	defer res.Body.Close()
	copyHeaders(w.Header(), res.Header, "ETag", "Retry-After", "Content-Type")
	w.WriteHeader(res.StatusCode)
	io.Copy(w, io.LimitReader(res.Body, maxRelayedBytes))
}

// readError returns the leader's error response as an error.
func readError(res *http.Response) error {
	defer res.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBodyBytes))
	return storeapi.NewStatusError(res.StatusCode, body)
}

func copyHeaders(to, from http.Header, names ...string) {
	for _, name := range names {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}
