package storeadmin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/maintenance"
	"oxbowbridge/internal/maintenance/controller"
)

const txnMost = 1 << 20 // bytes of a transaction's text

// fail answers with what an error means to the caller.
func fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, kv.ErrInvalidRequest), errors.Is(err, lease.ErrInvalidRequest), errors.Is(err, maintenance.ErrInvalidOrder):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errors.Is(err, kv.ErrSessionNotFound), errors.Is(err, lease.ErrNotHolder):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, store.ErrMemberRejected):
		http.Error(w, err.Error(), http.StatusForbidden)
	case errors.Is(err, store.ErrMemberNotFound), errors.Is(err, controller.ErrOrderNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, kv.ErrFenced):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, kv.ErrStaleRequest), errors.Is(err, lease.ErrWaiterNotFound), errors.Is(err, controller.ErrWrongPhase):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, kv.ErrFull):
		http.Error(w, err.Error(), http.StatusInsufficientStorage)
	default:
		unavailable(w, err)
	}
}

func conditional(r *http.Request) bool {
	h := r.Header
	return h.Get("If-Match") != "" || h.Get("If-None-Match") != "" || h.Get(storeapi.HeaderSession) != "" || h.Get(storeapi.HeaderRequestNumber) != "" || h.Get(storeapi.HeaderLease) != ""
}

// fences reads the leases that a write rests on.
func fences(r *http.Request) (list []lease.FencingToken, err error) {
	for _, text := range r.Header.Values(storeapi.HeaderLease) {
		h, err := storeapi.ParseFencingToken(text)
		if err != nil {
			return nil, err
		}
		list = append(list, h)
	}
	return list, nil
}

// requestFrom reads the conditions and the session of a PUT or DELETE.
func requestFrom(r *http.Request, value json.RawMessage) (q kv.Request, err error) {
	key := r.PathValue("key")
	if tag := r.Header.Get("If-Match"); tag != "" {
		c := kv.Compare{Key: key}
		if c.Revision, err = storeapi.ParseETag(tag); err != nil {
			return q, err
		}
		q.If = append(q.If, c)
	}
	if tag := r.Header.Get("If-None-Match"); tag != "" {
		if tag != "*" {
			return q, fmt.Errorf("%w: If-None-Match takes * only", kv.ErrInvalidRequest)
		}
		q.If = append(q.If, kv.Compare{Key: key})
	}
	for field, to := range map[string]*uint64{storeapi.HeaderSession: &q.Session, storeapi.HeaderRequestNumber: &q.RequestNumber} {
		if text := r.Header.Get(field); text != "" {
			if *to, err = strconv.ParseUint(text, 10, 64); err != nil {
				return q, fmt.Errorf("%w: %s: %q is no number", kv.ErrInvalidRequest, field, text)
			}
		}
	}
	if q.Fences, err = fences(r); err != nil {
		return q, err
	}
	q.Then = []kv.Op{{Kind: "put", Key: key, Value: value}}
	if r.Method == http.MethodDelete {
		q.Then = []kv.Op{{Kind: "delete", Key: key}}
	}
	return q, nil
}

// putIf is a PUT or DELETE with conditions or in a session.
func (a *admin) putIf(w http.ResponseWriter, r *http.Request, value json.RawMessage) {
	q, err := requestFrom(r, value)
	if err != nil {
		fail(w, err)
		return
	}
	if a.passOn(w, r, value, q.Session != 0) {
		return
	}
	got, err := a.store.Execute(q)
	switch {
	case err != nil:
		fail(w, err)
	case !got.Succeeded:
		http.Error(w, "the key has another revision", http.StatusPreconditionFailed)
	default:
		if n := got.Results[0].Revision; n != 0 {
			w.Header().Set("ETag", storeapi.FormatETag(n))
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

// session opens one.
func (a *admin) session(w http.ResponseWriter, r *http.Request) {
	if !a.passOn(w, r, nil, true) {
		a.do(w, kv.Request{OpenSession: true})
	}
}

// txn carries out a transaction: {"if": [{"key", "revision"}], "then": [{"do", "key",
// "value"}], "else": [...], "session": N, "number": N}.
func (a *admin) txn(w http.ResponseWriter, r *http.Request) {
	var q kv.Request
	text, err := decode(w, r, txnMost, &q)
	if err != nil {
		fail(w, err)
		return
	}
	if q.OpenSession || len(q.LeaseOps) > 0 || q.TokenFloor != 0 {
		fail(w, fmt.Errorf("%w: sessions are opened with POST /session, leases are under /lease", kv.ErrInvalidRequest))
		return
	}
	held, err := fences(r)
	if err != nil {
		fail(w, err)
		return
	}
	q.Fences = append(q.Fences, held...)
	for _, o := range slices.Concat(q.Then, q.Else) {
		if err := notReserved(o.Key); o.Kind != "get" && err != nil && !controller.MayWrite(q.Fences, o.Key) {
			fail(w, err)
			return
		}
	}
	if !a.passOn(w, r, text, q.Session != 0) {
		a.do(w, q)
	}
}

// decode reads a request's JSON, and gives its text to pass on.
func decode(w http.ResponseWriter, r *http.Request, most int64, to any) (text []byte, err error) {
	text, err = io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err == nil {
		d := json.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		err = d.Decode(to)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", kv.ErrInvalidRequest, err)
	}
	return text, nil
}

// notReserved refuses keys that only the store itself writes.
func notReserved(key string) error {
	if strings.HasPrefix(key, kv.ReservedPrefix) {
		return fmt.Errorf("%w: keys under %s are the store's own", kv.ErrInvalidRequest, kv.ReservedPrefix)
	}
	return nil
}

func (a *admin) do(w http.ResponseWriter, q kv.Request) {
	got, err := a.store.Execute(q)
	if err != nil {
		fail(w, err)
		return
	}
	storeapi.WriteJSON(w, got)
}
