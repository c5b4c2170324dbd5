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

// Maximum sizes of request bodies in bytes.
const (
	maxAcquireBodyBytes = 1 << 10
	maxRenewBodyBytes   = 1 << 20
)

// leaseStatus returns a lease as it is encoded in responses.
func leaseStatus(name string, l lease.Lease) storeapi.LeaseStatus {
	return storeapi.LeaseStatus{Name: name, Holder: l.Holder, Token: l.Token, TTLMS: l.TTLMS, Revoked: l.Revoked}
}

// acquireLease serves POST /lease/NAME. The request may wait in the lease's queue on the leader.
func (s *server) acquireLease(w http.ResponseWriter, r *http.Request) error {
	var request storeapi.AcquireRequest
	body, err := decodeJSON(w, r, maxAcquireBodyBytes, &request)
	if err != nil {
		return err
	}
	name := r.PathValue("name")
	if err := validateAcquire(name, request); err != nil {
		return err
	}
	maxWait := time.Duration(request.WaitMS) * time.Millisecond
	http.NewResponseController(w).SetReadDeadline(time.Time{}) // otherwise readTimeout would end the wait
	if done, err := s.forwardAcquire(w, r, body, maxWait); done || err != nil {
		return err
	}
	if maxWait > 0 {
		if !s.leaseWaitSlots.tryAcquire() {
			return unavailable(errTooManyRequests)
		}
		defer s.leaseWaitSlots.release()
	}
	l, err := s.store.AcquireLease(r.Context(), store.LeaseRequest{
		Name:     name,
		Holder:   request.Holder,
		TTLMS:    request.TTLMS,
		Priority: request.Priority,
		MaxWait:  maxWait,
	})
	switch {
	case errors.Is(err, lease.ErrHeld):
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		json.NewEncoder(w).Encode(leaseStatus(name, l))
	case err != nil:
		return err
	default:
		storeapi.WriteJSON(w, leaseStatus(name, l))
	}
	return nil
}

func validateAcquire(name string, request storeapi.AcquireRequest) error {
	if request.WaitMS < 0 || request.WaitMS > storeapi.MaxLeaseWait.Milliseconds() {
		return fmt.Errorf("%w: wait_ms: want 0 to %d", kv.ErrInvalidRequest, storeapi.MaxLeaseWait.Milliseconds())
	}
	return lease.Validate(name, request.Holder, request.TTLMS)
}

// renewLeases serves PUT /lease, which renews several leases.
func (s *server) renewLeases(w http.ResponseWriter, r *http.Request) error {
	var request storeapi.RenewRequest
	body, err := decodeJSON(w, r, maxRenewBodyBytes, &request)
	if err != nil {
		return err
	}
	if request.Token != 0 || len(request.Leases) == 0 || len(request.Leases) > storeapi.MaxRenewals {
		return fmt.Errorf("%w: want 1 to %d leases", kv.ErrInvalidRequest, storeapi.MaxRenewals)
	}
	if done, err := s.forwardIdempotent(w, r, body); done || err != nil {
		return err
	}
	_, lost, err := s.store.RenewLeases(r.Context(), request.Leases)
	if err != nil {
		return err
	}
	storeapi.WriteJSON(w, storeapi.RenewResponse{Lost: lost})
	return nil
}

// renewLease serves PUT /lease/NAME, which renews one lease. Without a name, it behaves like renewLeases.
func (s *server) renewLease(w http.ResponseWriter, r *http.Request) error {
	name := r.PathValue("name")
	if name == "" {
		return s.renewLeases(w, r)
	}
	var request storeapi.RenewRequest
	body, err := decodeJSON(w, r, maxRenewBodyBytes, &request)
	if err != nil {
		return err
	}
	if request.Token == 0 || len(request.Leases) > 0 {
		return fmt.Errorf("%w: want a token", kv.ErrInvalidRequest)
	}
	if done, err := s.forwardIdempotent(w, r, body); done || err != nil {
		return err
	}
	renewed, lost, err := s.store.RenewLeases(r.Context(), []lease.FencingToken{{Name: name, Token: request.Token}})
	switch {
	case err != nil:
		return err
	case len(lost) > 0:
		return lease.ErrNotHolder
	}
	storeapi.WriteJSON(w, leaseStatus(name, renewed[name]))
	return nil
}

// releaseOrRevokeLease serves DELETE /lease/NAME. With ?token=T it releases a lease, and with &to=HOLDER hands it over
// to that waiter. With ?revoke=1, for operators, it revokes the lease.
func (s *server) releaseOrRevokeLease(w http.ResponseWriter, r *http.Request) error {
	query := r.URL.Query()
	revoke := query.Get("revoke") == "1"
	hasToken := query.Get("token") != ""
	token, err := strconv.ParseUint(query.Get("token"), 10, 64)
	if revoke == hasToken || !revoke && (err != nil || token == 0) {
		return fmt.Errorf("%w: want token=T, or revoke=1", kv.ErrInvalidRequest)
	}
	if done, err := s.forwardIdempotent(w, r, nil); done || err != nil {
		return err
	}
	return writeNoContent(w, s.store.EndLease(r.PathValue("name"), token, query.Get("to")))
}

// listLeases serves GET /lease.
func (s *server) listLeases(w http.ResponseWriter, r *http.Request) error {
	if done, err := s.forwardIdempotent(w, r, nil); done || err != nil {
		return err
	}
	leases, err := s.heldLeases(r, "")
	if err != nil {
		return err
	}
	storeapi.WriteJSON(w, leases)
	return nil
}

// getLease serves GET /lease/NAME.
func (s *server) getLease(w http.ResponseWriter, r *http.Request) error {
	if done, err := s.forwardIdempotent(w, r, nil); done || err != nil {
		return err
	}
	leases, err := s.heldLeases(r, r.PathValue("name"))
	switch {
	case err != nil:
		return err
	case len(leases) == 0:
		return withStatus(http.StatusNotFound, errors.New("nobody has this lease"))
	}
	storeapi.WriteJSON(w, leases[0])
	return nil
}

// heldLeases returns the lease with a name, if it is held. For an empty name it returns all held leases, sorted
// by name.
func (s *server) heldLeases(r *http.Request, name string) ([]storeapi.LeaseStatus, error) {
	held, remaining, err := s.store.Leases(r.Context(), name)
	leases := make([]storeapi.LeaseStatus, 0, len(held))
	for name, l := range held {
		status := leaseStatus(name, l)
		status.RemainingMS = max(remaining[name].Milliseconds(), 0)
		status.Waiters = l.Waiters
		leases = append(leases, status)
	}
	slices.SortFunc(leases, func(a, b storeapi.LeaseStatus) int { return cmp.Compare(a.Name, b.Name) })
	return leases, err
}
