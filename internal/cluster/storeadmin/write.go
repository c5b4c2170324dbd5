package storeadmin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/maintenance/controller"
)

const maxTxnBodyBytes = 1 << 20 // maximum size of a transaction's body

// writeKey serves PUT and DELETE /store/KEY. A request with conditions, a session or a lease is a
// transaction. Any other is a plain write, which is sent to the leader once. After a 503 response it may
// have been executed.
func (s *server) writeKey(w http.ResponseWriter, r *http.Request) error {
	value, err := readValue(w, r)
	if err != nil {
		return err
	}
	if err := checkNotReserved(r.PathValue("key")); err != nil {
		return err
	}
	if isConditional(r) {
		return s.writeKeyIf(w, r, value)
	}
	if done, err := s.forwardOnce(w, r, value); done || err != nil {
		return err
	}
	return writeNoContent(w, s.store.Set(r.Context(), r.PathValue("key"), value))
}

// readValue reads the value of a PUT. It returns nil for a DELETE.
func readValue(w http.ResponseWriter, r *http.Request) (json.RawMessage, error) {
	if r.Method != http.MethodPut {
		return nil, nil
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, kv.MaxValueBytes))
	if err != nil || !json.Valid(value) {
		return nil, withStatus(http.StatusBadRequest, errors.New("the value must be JSON of at most 64 KiB"))
	}
	return value, nil
}

// writeKeyIf executes a PUT or DELETE as a transaction.
func (s *server) writeKeyIf(w http.ResponseWriter, r *http.Request, value json.RawMessage) error {
	request, err := parseConditions(r)
	if err != nil {
		return err
	}
	op := kv.Put(r.PathValue("key"), value)
	if r.Method == http.MethodDelete {
		op = kv.Delete(r.PathValue("key"))
	}
	request.Then = []kv.Op{op}
	if done, err := s.forwardWrite(w, r, value, request.SessionID); done || err != nil {
		return err
	}
	response, err := s.store.Execute(request)
	if err != nil {
		return err
	}
	if !response.Succeeded {
		return withStatus(http.StatusPreconditionFailed, errors.New("the key has another revision"))
	}
	if revision := response.Results[0].Revision; revision != 0 {
		w.Header().Set("ETag", storeapi.FormatETag(revision))
	}
	return writeNoContent(w, nil)
}

// openSession serves POST /session.
func (s *server) openSession(w http.ResponseWriter, r *http.Request) error {
	if done, err := s.forwardIdempotent(w, r, nil); done || err != nil {
		return err
	}
	return s.execute(w, kv.Request{OpenSession: true})
}

// txn serves POST /txn: {"if": [{"key", "revision"}], "then": [{"do", "key", "value"}],
// "else": [...], "session": N, "number": N}.
func (s *server) txn(w http.ResponseWriter, r *http.Request) error {
	var request kv.Request
	body, err := decodeJSON(w, r, maxTxnBodyBytes, &request)
	if err != nil {
		return err
	}
	if request.OpenSession || len(request.LeaseOps) > 0 || request.TokenFloor != 0 {
		return fmt.Errorf("%w: sessions are opened with POST /session, leases are under /lease", kv.ErrInvalidRequest)
	}
	fences, err := parseFences(r)
	if err != nil {
		return err
	}
	request.Fences = append(request.Fences, fences...)
	if err := checkMayWrite(request); err != nil {
		return err
	}
	if done, err := s.forwardWrite(w, r, body, request.SessionID); done || err != nil {
		return err
	}
	return s.execute(w, request)
}

// execute executes a store request, and responds with its result.
func (s *server) execute(w http.ResponseWriter, request kv.Request) error {
	response, err := s.store.Execute(request)
	if err != nil {
		return err
	}
	storeapi.WriteJSON(w, response)
	return nil
}

// checkMayWrite rejects a transaction that writes reserved keys, except those of the maintenance controller
// under its lease.
func checkMayWrite(request kv.Request) error {
	for _, op := range slices.Concat(request.Then, request.Else) {
		if op.Kind == kv.OpGet || controller.MayWrite(request.Fences, op.Key) {
			continue
		}
		if err := checkNotReserved(op.Key); err != nil {
			return err
		}
	}
	return nil
}

// checkNotReserved rejects keys that only the store itself writes.
func checkNotReserved(key string) error {
	if strings.HasPrefix(key, kv.ReservedPrefix) {
		return fmt.Errorf("%w: keys under %s are the store's own", kv.ErrInvalidRequest, kv.ReservedPrefix)
	}
	return nil
}
