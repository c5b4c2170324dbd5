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

// errBecameLeader means that this node leads by now: it carries the request out itself.
var errBecameLeader = errors.New("this node leads now")

// forwardOptions is how a request is forwarded.
type forwardOptions struct {
	idempotent bool          // it may be sent again when its outcome is not known
	timeout    time.Duration // for all attempts
	slots      slots         // one is taken while the request is forwarded
}

// forwardIdempotent has the leader answer a request that may be sent more than once; see forward.
func (s *server) forwardIdempotent(w http.ResponseWriter, r *http.Request, body []byte) (done bool, err error) {
	return s.forward(w, r, body, forwardOptions{idempotent: true, timeout: forwardTimeout, slots: s.forwards})
}

// forwardOnce has the leader answer a request that must not reach a leader twice; see forward.
func (s *server) forwardOnce(w http.ResponseWriter, r *http.Request, body []byte) (done bool, err error) {
	return s.forward(w, r, body, forwardOptions{idempotent: false, timeout: forwardTimeout, slots: s.forwards})
}

// forwardWrite has the leader answer a write, which is idempotent in a session (0 is none); see forward.
func (s *server) forwardWrite(w http.ResponseWriter, r *http.Request, body []byte, session uint64) (done bool, err error) {
	if session == 0 {
		return s.forwardOnce(w, r, body)
	}
	return s.forwardIdempotent(w, r, body)
}

// forwardAcquire has the leader answer a request that waits for a lease for maxWait at most; see forward.
// One that waits takes no slot of the other requests.
func (s *server) forwardAcquire(w http.ResponseWriter, r *http.Request, body []byte, maxWait time.Duration) (done bool, err error) {
	options := forwardOptions{idempotent: true, timeout: forwardTimeout + maxWait, slots: s.forwards}
	if maxWait > 0 {
		options.slots = s.leaseWaits
	}
	return s.forward(w, r, body, options)
}

// forward has the leader answer a request, if that is another node; done reports whether it did. The
// answer is not waited for once another node leads. An idempotent request is then sent to the next
// leader until the timeout; of any other it is unknown whether it was carried out. If done is false
// and there is no error, this node leads.
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
	answer, err := s.requestFromLeaders(ctx, r, body, options.idempotent)
	switch {
	case errors.Is(err, errBecameLeader):
		return false, nil
	case err != nil:
		return false, unavailable(fmt.Errorf("ask leader: %w", err))
	}
	relay(w, answer)
	return true, nil
}

// requestFromLeaders sends a request to the leader, and an idempotent one again until a leader answers it with
// something else than 503. It gives up when ctx ends, or when no leader could be asked for
// leaderlessTimeout. The error is errBecameLeader if this node leads by now.
func (s *server) requestFromLeaders(ctx context.Context, r *http.Request, body []byte, idempotent bool) (*http.Response, error) {
	var leaderlessSince time.Time // since when no leader could be asked; zero if the last one was
	for {
		res, sent, err := s.requestFromLeader(ctx, r, body)
		if err == nil {
			retry := res.StatusCode == http.StatusServiceUnavailable && idempotent && ctx.Err() == nil
			if !retry {
				return res, nil
			}
			err = readError(res)
		}
		leaderless := false
		switch {
		case sent:
			leaderlessSince = time.Time{}
		case leaderlessSince.IsZero():
			leaderlessSince = time.Now()
		default:
			leaderless = time.Since(leaderlessSince) > leaderlessTimeout
		}
		if sent && !idempotent || leaderless || ctx.Err() != nil {
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

// requestFromLeader sends a request to the present leader and waits for the answer until another node
// leads. sent is false if nothing can have reached a leader.
func (s *server) requestFromLeader(ctx context.Context, r *http.Request, body []byte) (res *http.Response, sent bool, err error) {
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
	res, err = s.forwardingClient(r).Do(req)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, true, err
	}
	return res, true, nil
}

// forwardingClient returns the client for a forwarded request: restores, and requests for a lease that may
// wait, take longer than others.
func (s *server) forwardingClient(r *http.Request) *http.Client {
	if r.URL.Path == pathRestore || strings.HasPrefix(r.URL.Path, leasePathsWithNames) {
		return s.slowClient
	}
	return s.client
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
