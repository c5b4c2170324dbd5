package storeadmin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/cluster/storeapi"
)

// Header fields of responses to reads.
const (
	headerKeyVersion = "Key-Version" // number of puts since the key was created
	headerAge        = "Age-Ms"      // age in milliseconds of the state that a stale read returns
)

// getStatus serves GET /status.
func (s *server) getStatus(w http.ResponseWriter, _ *http.Request) error {
	status := s.store.Status()
	status.Watchers = len(s.watcherSlots)
	storeapi.WriteJSON(w, status)
	return nil
}

// getSelf serves GET /self?from=ID: this node's status for another node.
func (s *server) getSelf(w http.ResponseWriter, r *http.Request) error {
	status, err := s.store.PeerStatus(r.URL.Query().Get("from"))
	if err != nil {
		return err
	}
	storeapi.WriteJSON(w, status)
	return nil
}

// getIndex serves GET /index: the committed log index. Other nodes request it to verify that their state is
// fresh.
func (s *server) getIndex(w http.ResponseWriter, r *http.Request) error {
	index, err := s.store.ReadIndex(r.Context())
	if err != nil {
		return unavailable(err)
	}
	storeapi.WriteJSON(w, storeapi.ReadIndexResponse{Index: index})
	return nil
}

// listKeys serves GET /store: all keys except the reserved ones.
func (s *server) listKeys(w http.ResponseWriter, r *http.Request) error {
	if err := s.waitFresh(w, r); err != nil {
		return err
	}
	entries, revision := s.store.Entries()
	values := map[string]json.RawMessage{}
	for key, e := range entries {
		if !strings.HasPrefix(key, kv.ReservedPrefix) {
			values[key] = e.Value
		}
	}
	w.Header().Set(storeapi.HeaderStoreRevision, strconv.FormatUint(revision, 10))
	storeapi.WriteJSON(w, values)
	return nil
}

// getKey serves GET /store/KEY.
func (s *server) getKey(w http.ResponseWriter, r *http.Request) error {
	if err := s.waitFresh(w, r); err != nil {
		return err
	}
	e, ok := s.store.Entry(r.PathValue("key"))
	if !ok {
		return withStatus(http.StatusNotFound, errors.New("no such key"))
	}
	w.Header().Set("ETag", storeapi.FormatETag(e.ModRevision))
	w.Header().Set(headerKeyVersion, strconv.FormatUint(e.Version, 10))
	storeapi.WriteJSON(w, e.Value)
	return nil
}

// waitFresh waits until this node's state is as fresh as a request demands: linearizable by default, at
// most DURATION old with ?stale=DURATION, or of any age with ?local=1. While a backup is being restored,
// only local reads succeed; all others get a 503.
func (s *server) waitFresh(w http.ResponseWriter, r *http.Request) error {
	freshness, err := parseFreshness(r)
	if err != nil {
		return err
	}
	age, err := s.store.WaitFresh(r.Context(), freshness)
	if err != nil {
		return unavailable(err)
	}
	if _, restoring := s.store.Entry(kv.RestoreMarkerKey); restoring && !freshness.Local {
		return unavailable(kv.ErrRestoring)
	}
	if freshness.MaxStaleness > 0 {
		w.Header().Set(headerAge, strconv.FormatInt(age.Milliseconds(), 10))
	}
	return nil
}

func parseFreshness(r *http.Request) (store.Freshness, error) {
	query := r.URL.Query()
	freshness := store.Freshness{Local: query.Get("local") == "1"}
	if text := query.Get("stale"); text != "" {
		staleness, err := time.ParseDuration(text)
		if err != nil || staleness <= 0 {
			return freshness, withStatus(http.StatusBadRequest, errors.New("stale: want a duration above 0, such as 2s"))
		}
		freshness.MaxStaleness = staleness
	}
	return freshness, nil
}
