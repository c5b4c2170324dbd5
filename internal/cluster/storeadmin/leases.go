package storeadmin

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/cluster/storeapi"
)

const (
	acquireMost = 1 << 10 // bytes of a request for a lease
	renewMost   = 1 << 20 // bytes of keep-alives
)

func leaseOf(name string, l lease.Lease) storeapi.LeaseStatus {
	return storeapi.LeaseStatus{Name: name, Holder: l.Holder, Token: l.Token, TTLMS: l.TTLMS, Revoked: l.Revoked}
}

// acquire is POST /lease/NAME. It may wait, at the leader.
func (a *admin) acquire(w http.ResponseWriter, r *http.Request) {
	var q storeapi.AcquireRequest
	text, err := decode(w, r, acquireMost, &q)
	wait := time.Duration(q.WaitMS) * time.Millisecond
	switch {
	case err == nil && (wait < 0 || q.WaitMS > storeapi.MaxLeaseWait.Milliseconds()):
		err = fmt.Errorf("%w: wait_ms: want 0 to %d", kv.ErrInvalidRequest, storeapi.MaxLeaseWait.Milliseconds())
	case err == nil:
		err = lease.Validate(r.PathValue("name"), q.Holder, q.TTLMS)
	}
	if err != nil {
		fail(w, err)
		return
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{}) // the server's would end the wait
	if a.passOnFor(w, r, text, true, forwardTime+wait) {
		return
	}
	if wait > 0 { // guards the memory and the descriptors
		select {
		case a.waits <- struct{}{}:
			defer func() { <-a.waits }()
		default:
			unavailable(w, errForwards)
			return
		}
	}
	l, err := a.store.AcquireLease(r.Context(), store.LeaseRequest{Name: r.PathValue("name"), Holder: q.Holder, TTLMS: q.TTLMS,
		Priority: q.Priority, MaxWait: wait})
	switch {
	case errors.Is(err, lease.ErrHeld):
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		json.NewEncoder(w).Encode(leaseOf(r.PathValue("name"), l))
	case err != nil:
		fail(w, err)
	default:
		storeapi.WriteJSON(w, leaseOf(r.PathValue("name"), l))
	}
}

// renew is PUT /lease/NAME with one token, or PUT /lease with many.
func (a *admin) renew(w http.ResponseWriter, r *http.Request) {
	var q storeapi.RenewRequest
	text, err := decode(w, r, renewMost, &q)
	name := r.PathValue("name")
	switch {
	case err != nil:
	case name == "" && (q.Token != 0 || len(q.Leases) == 0 || len(q.Leases) > storeapi.MaxRenewals):
		err = fmt.Errorf("%w: want 1 to %d leases", kv.ErrInvalidRequest, storeapi.MaxRenewals)
	case name != "" && (q.Token == 0 || len(q.Leases) > 0):
		err = fmt.Errorf("%w: want a token", kv.ErrInvalidRequest)
	case name != "":
		q.Leases = []lease.FencingToken{{Name: name, Token: q.Token}}
	}
	if err != nil {
		fail(w, err)
		return
	}
	if a.passOn(w, r, text, true) {
		return
	}
	kept, gone, err := a.store.RenewLeases(r.Context(), q.Leases)
	switch {
	case err != nil:
		fail(w, err)
	case name == "":
		storeapi.WriteJSON(w, storeapi.RenewResponse{Lost: gone})
	case len(gone) > 0:
		fail(w, lease.ErrNotHolder)
	default:
		storeapi.WriteJSON(w, leaseOf(name, kept[name]))
	}
}

// release is DELETE /lease/NAME?token=T, to another one that waits with &to=HOLDER; or,
// for operators, ?revoke=1.
func (a *admin) release(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	token, err := strconv.ParseUint(q.Get("token"), 10, 64)
	if revoke := q.Get("revoke") == "1"; revoke == (q.Get("token") != "") || !revoke && (err != nil || token == 0) {
		fail(w, fmt.Errorf("%w: want token=T, or revoke=1", kv.ErrInvalidRequest))
		return
	}
	if a.passOn(w, r, nil, true) {
		return
	}
	if err := a.store.EndLease(r.PathValue("name"), token, q.Get("to")); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// leases is GET /lease.
func (a *admin) leases(w http.ResponseWriter, r *http.Request) {
	if a.passOn(w, r, nil, true) {
		return
	}
	list, err := a.held(r, "")
	if err != nil {
		fail(w, err)
		return
	}
	storeapi.WriteJSON(w, list)
}

// lease is GET /lease/NAME.
func (a *admin) lease(w http.ResponseWriter, r *http.Request) {
	if !a.passOn(w, r, nil, true) {
		a.one(w, r, r.PathValue("name"))
	}
}

func (a *admin) one(w http.ResponseWriter, r *http.Request, name string) {
	list, err := a.held(r, name)
	switch {
	case err != nil:
		fail(w, err)
	case len(list) == 0:
		http.Error(w, "nobody has this lease", http.StatusNotFound)
	default:
		storeapi.WriteJSON(w, list[0])
	}
}

func (a *admin) held(r *http.Request, only string) (list []storeapi.LeaseStatus, err error) {
	all, left, err := a.store.Leases(r.Context(), only)
	list = make([]storeapi.LeaseStatus, 0, len(all))
	for name, l := range all {
		x := leaseOf(name, l)
		x.RemainingMS, x.Waiters = max(left[name].Milliseconds(), 0), l.Waiters
		list = append(list, x)
	}
	slices.SortFunc(list, func(x, y storeapi.LeaseStatus) int { return cmp.Compare(x.Name, y.Name) })
	return list, err
}
