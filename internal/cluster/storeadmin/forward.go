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
	forwardTime = storeapi.CommitTimeout + time.Second // for all attempts of one request
	forwardLook = 20 * time.Millisecond                // how soon another leader is noticed
	electTime   = 1500 * time.Millisecond              // while no leader is known, a request waits so long for one
)

var errForwards = errors.New("too many requests wait here")

// passOn has the leader answer, if that is another node. One that no longer leads is not
// waited for: what may be repeated, such as a write in its session, is asked again of the
// next leader until the time is over; for any other write it is unknown whether it was
// carried out.
func (a *admin) passOn(w http.ResponseWriter, r *http.Request, body []byte, repeat bool) bool {
	return a.passOnFor(w, r, body, repeat, forwardTime)
}

// passOnFor is passOn with another time for all attempts.
func (a *admin) passOnFor(w http.ResponseWriter, r *http.Request, body []byte, repeat bool, most time.Duration) bool {
	if a.store.IsLeader() {
		return false
	}
	if r.Header.Get("Forwarded") != "" { // guards against two nodes that take each other for the leader
		unavailable(w, store.ErrNoLeader)
		return true
	}
	if why := a.store.WaitReason(); why != "" {
		unavailable(w, fmt.Errorf("%w: it waits for %s", store.ErrNotServing, why))
		return true
	}
	slots := a.forwards
	if most > forwardTime { // one that waits takes no write's place
		slots = a.waits
	}
	select { // guards the memory and the descriptors
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		unavailable(w, errForwards)
		return true
	}
	ctx, cancel := context.WithTimeout(r.Context(), most)
	defer cancel()
	var alone time.Time // since when no leader could be asked
	for {
		res, sent, err := a.attempt(ctx, r, body)
		switch {
		case sent:
			alone = time.Time{}
		case alone.IsZero():
			alone = time.Now()
		case time.Since(alone) > electTime:
			cancel()
		}
		if err == nil && !(res.StatusCode == http.StatusServiceUnavailable && repeat && ctx.Err() == nil) {
			defer res.Body.Close()
			copyFields(w.Header(), res.Header, "ETag", "Retry-After", "Content-Type")
			w.WriteHeader(res.StatusCode)
			io.Copy(w, io.LimitReader(res.Body, kv.MaxOps*2*kv.MaxValueBytes))
			return true
		}
		if err == nil {
			text, _ := io.ReadAll(io.LimitReader(res.Body, 1<<10))
			res.Body.Close()
			err = storeapi.NewStatusError(res.StatusCode, text)
		}
		if sent && !repeat || ctx.Err() != nil {
			unavailable(w, fmt.Errorf("ask leader: %w", err))
			return true
		}
		select {
		case <-ctx.Done():
			unavailable(w, fmt.Errorf("ask leader: %w", err))
			return true
		case <-time.After(forwardLook):
		}
		if a.store.IsLeader() {
			return false
		}
	}
}

// attempt asks the present leader, until another one leads. sent is false if nothing can
// have reached it.
func (a *admin) attempt(ctx context.Context, r *http.Request, body []byte) (res *http.Response, sent bool, err error) {
	p, id, ok := a.store.Leader()
	if !ok || p.Name == a.store.Name() {
		return nil, false, store.ErrNoLeader
	}
	ctx, cancel := context.WithCancelCause(ctx)
	watched := make(chan struct{})
	defer close(watched)
	go func() {
		tick := time.NewTicker(forwardLook)
		defer tick.Stop()
		for {
			select {
			case <-watched:
				return
			case <-ctx.Done():
				return
			case <-tick.C:
				if _, now, ok := a.store.Leader(); ok && now != id {
					cancel(errors.New("another node leads now; whether this was carried out is not known"))
					return
				}
			}
		}
	}()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+p.Admin+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	if id := a.store.ClusterID(); id != "" {
		req.Header.Set(storeapi.HeaderCluster, id)
	}
	copyFields(req.Header, r.Header, "If-Match", "If-None-Match", storeapi.HeaderSession, storeapi.HeaderRequestNumber)
	for _, l := range r.Header.Values(storeapi.HeaderLease) {
		req.Header.Add(storeapi.HeaderLease, l)
	}
	req.Header.Set("Forwarded", "by="+a.store.Name())
	client := a.client
	if r.URL.Path == "/restore" || strings.HasPrefix(r.URL.Path, "/lease/") {
		client = a.patient
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

func copyFields(to, from http.Header, names ...string) {
	for _, name := range names {
		if v := from.Get(name); v != "" {
			to.Set(name, v)
		}
	}
}
