// Package storeadmin is the HTTP surface of a node of the replicated store, on a
// loopback address: for operators, and for the other nodes.
package storeadmin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/maintenance/controller"
)

const (
	watchersMost  = 64
	forwardedMost = 256 // writes that a node has passed on and waits for
	leaseMost     = 512 // requests for leases that wait, here or passed on
)

// admin serves GET /status, /store, /store/KEY, /watch, /backup, /members; PUT and DELETE
// /store/KEY and /members/NAME; POST /txn, /session, /restore and /members/NAME; GET and
// PUT /lease; GET, POST, PUT and DELETE /lease/NAME; GET and POST /work, DELETE and PUT
// /work/NODE. Nodes
// pass writes on to their leader by it, ask it how far the log is committed (GET /index),
// ask each other what they are (GET /self), and ask for a place (POST /members).
type admin struct {
	store    *store.Store
	server   *http.Server
	client   *http.Client
	patient  *http.Client  // for what takes longer
	watchers chan struct{} // one for each that follows
	forwards chan struct{} // one for each write that is passed on
	waits    chan struct{} // one for each request for a lease

	order     *controller.Controller
	restoring sync.Mutex
}

// Open starts a node with its admin port. It finds the others by itself, and what it
// missed. With it comes the node's part in orders of work.
func Open(cfg store.Config, log *zap.Logger) (*store.Store, *controller.Controller, error) {
	s, err := store.New(cfg, log)
	if err != nil {
		return nil, nil, err
	}
	order := controller.New(s, log.Named("work"))
	s.OnClose(order.Close)
	if err := serve(s, order); err != nil {
		order.Close()
		return nil, nil, err
	}
	if err := s.Start(); err != nil {
		s.Close()
		return nil, nil, err
	}
	return s, order, nil
}

func serve(s *store.Store, order *controller.Controller) error {
	a := &admin{store: s, client: &http.Client{Timeout: storeapi.CommitTimeout + time.Second}, patient: &http.Client{Timeout: storeapi.RestoreTimeout},
		watchers: make(chan struct{}, watchersMost), forwards: make(chan struct{}, forwardedMost),
		waits: make(chan struct{}, leaseMost), order: order}
	ln, err := net.Listen("tcp", s.AdminAddress())
	if err != nil {
		return fmt.Errorf("admin address: %w", err)
	}
	mux := http.NewServeMux()
	for pattern, do := range map[string]http.HandlerFunc{
		"GET /status":             func(w http.ResponseWriter, _ *http.Request) { storeapi.WriteJSON(w, a.status()) },
		"GET /self":               a.self,
		"GET /index":              a.index,
		"GET /store":              a.list,
		"GET /store/{key...}":     a.get,
		"PUT /store/{key...}":     a.put,
		"DELETE /store/{key...}":  a.put,
		"GET /watch":              a.watch,
		"POST /session":           a.session,
		"POST /txn":               a.txn,
		"GET /backup":             a.backup,
		"POST /restore":           a.restore,
		"DELETE /restore":         a.restore,
		"GET /members":            a.members,
		"POST /members":           a.join,
		"PUT /members/{name}":     a.changeMember,
		"DELETE /members/{name}":  a.changeMember,
		"POST /members/{name}":    a.changeMember,
		"GET /work":               a.workStatus,
		"POST /work":              a.askWork,
		"POST /work/pause":        a.pauseWork(true),
		"POST /work/resume":       a.pauseWork(false),
		"DELETE /work/{node}":     a.cancelWork,
		"PUT /work/{node}":        a.sayWork,
		"PUT /work/{node}/beat":   a.beatWork,
		"GET /lease":              a.leases,
		"PUT /lease":              a.renew,
		"GET /lease/{name...}":    a.lease,
		"POST /lease/{name...}":   a.acquire,
		"PUT /lease/{name...}":    a.renew,
		"DELETE /lease/{name...}": a.release,
	} {
		mux.HandleFunc(pattern, do)
	}
	a.server = &http.Server{Handler: a.sameCluster(mux), ReadHeaderTimeout: time.Second, ReadTimeout: 5 * time.Second,
		ErrorLog: zap.NewStdLog(s.Log())}
	go a.server.Serve(ln)
	s.OnClose(func() { a.server.Close() })
	return nil
}

// sameCluster says with each answer which cluster this node is of, and refuses what
// was meant for another.
func (a *admin) sameCluster(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		own, theirs := a.store.ClusterID(), r.Header.Get(storeapi.HeaderCluster)
		if own != "" {
			w.Header().Set(storeapi.HeaderCluster, own)
		}
		if own != "" && theirs != "" && own != theirs {
			http.Error(w, fmt.Sprintf("this node is of cluster %s, not of %s", own, theirs), http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a *admin) status() storeapi.Status {
	st := a.store.Status()
	st.Watchers = len(a.watchers)
	return st
}

// self answers another node.
func (a *admin) self(w http.ResponseWriter, r *http.Request) {
	out, err := a.store.Self(r.URL.Query().Get("from"))
	if err != nil {
		fail(w, err)
		return
	}
	storeapi.WriteJSON(w, out)
}

func (a *admin) list(w http.ResponseWriter, r *http.Request) {
	if !a.fresh(w, r) {
		return
	}
	entries, revision := a.store.Entries()
	all := map[string]json.RawMessage{}
	for key, e := range entries {
		if !strings.HasPrefix(key, kv.ReservedPrefix) {
			all[key] = e.Value
		}
	}
	w.Header().Set(storeapi.HeaderRevision, strconv.FormatUint(revision, 10))
	storeapi.WriteJSON(w, all)
}

func (a *admin) get(w http.ResponseWriter, r *http.Request) {
	if !a.fresh(w, r) {
		return
	}
	e, ok := a.store.Entry(r.PathValue("key"))
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", storeapi.FormatETag(e.ModRevision))
	w.Header().Set("Key-Version", strconv.FormatUint(e.Version, 10)) // puts since it was made
	storeapi.WriteJSON(w, e.Value)
}

// fresh makes sure that what is read next is as fresh as the request asks for:
// linearizable, or ?stale=DURATION, or ?local=1. It answers the others.
func (a *admin) fresh(w http.ResponseWriter, r *http.Request) bool {
	q := r.URL.Query()
	f := store.Freshness{Local: q.Get("local") == "1"}
	if text := q.Get("stale"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			http.Error(w, "stale: want a duration above 0, such as 2s", http.StatusBadRequest)
			return false
		}
		f.MaxStaleness = d
	}
	age, err := a.store.WaitFresh(r.Context(), f)
	if err != nil {
		unavailable(w, err)
		return false
	}
	if _, restoring := a.store.Entry(kv.RestoreKey); restoring && !f.Local {
		unavailable(w, kv.ErrRestoring)
		return false
	}
	if f.MaxStaleness > 0 {
		w.Header().Set("Age-Ms", strconv.FormatInt(age.Milliseconds(), 10))
	}
	return true
}

// unavailable says that asking again may help.
func unavailable(w http.ResponseWriter, err error) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

// index answers a node that wants to prove that it is fresh.
func (a *admin) index(w http.ResponseWriter, r *http.Request) {
	index, err := a.store.ReadIndex(r.Context())
	if err != nil {
		unavailable(w, err)
		return
	}
	storeapi.WriteJSON(w, storeapi.ReadIndexResponse{Index: index})
}

func (a *admin) put(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	if r.Method == http.MethodPut {
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, kv.MaxValueBytes))
		if err != nil || !json.Valid(text) {
			http.Error(w, "the value must be JSON of at most 64 KiB", http.StatusBadRequest)
			return
		}
		value = text
	}
	if err := notReserved(r.PathValue("key")); err != nil {
		fail(w, err)
		return
	}
	if conditional(r) {
		a.putIf(w, r, value)
		return
	}
	if a.passOn(w, r, value, false) {
		return
	}
	err := a.store.Set(r.Context(), r.PathValue("key"), value)
	if err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
