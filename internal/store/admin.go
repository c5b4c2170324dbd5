package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"oxbowbridge/internal/kv"
)

var errNoLeader = errors.New("no leader is known")

// Status is what a node tells of itself.
type Status struct {
	Node     string `json:"node"`
	State    string `json:"state"`
	Leader   string `json:"leader"`
	Applied  uint64 `json:"applied"`
	Last     uint64 `json:"last"`            // of the node's log
	Mirrored uint64 `json:"mirrored"`        // the index up to which the store of record has all
	SQLError string `json:"error,omitempty"` // why it hasn't more
	Watchers int    `json:"watchers"`
	Cluster  string `json:"cluster,omitempty"` // its id, once it is known
	Foreign  string `json:"foreign,omitempty"` // addresses of peers that are of another cluster
}

// admin is the operators' HTTP port, on a loopback address: GET /status,
// GET /store, GET, PUT and DELETE /store/KEY, GET /watch, GET /backup, and
// POST /txn, /session and /restore. Nodes pass writes to their
// leader by it, and ask it how far the log is committed (GET /index).
type admin struct {
	store  *Store
	server *http.Server
	client *http.Client

	patient   *http.Client  // for what takes longer
	watchers  chan struct{} // one for each that follows
	restoring sync.Mutex
}

func serveAdmin(s *Store) (*admin, error) {
	a := &admin{store: s, client: &http.Client{Timeout: applyTimeout + time.Second}, patient: &http.Client{Timeout: restoreTime}, watchers: make(chan struct{}, watchersMost)}
	ln, err := net.Listen("tcp", s.self.Admin)
	if err != nil {
		return nil, fmt.Errorf("admin address: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { answer(w, a.status()) })
	mux.HandleFunc("GET /index", a.index)
	mux.HandleFunc("GET /store", func(w http.ResponseWriter, r *http.Request) {
		if !a.fresh(w, r) {
			return
		}
		entries, revision := s.state.all()
		all := map[string]json.RawMessage{}
		for key, e := range entries {
			if !strings.HasPrefix(key, kv.Reserved) {
				all[key] = e.Value
			}
		}
		w.Header().Set(headRevision, strconv.FormatUint(revision, 10))
		answer(w, all)
	})
	mux.HandleFunc("GET /store/{key...}", a.get)
	mux.HandleFunc("PUT /store/{key...}", a.put)
	mux.HandleFunc("DELETE /store/{key...}", a.put)
	mux.HandleFunc("GET /watch", a.watch)
	mux.HandleFunc("POST /session", a.session)
	mux.HandleFunc("POST /txn", a.txn)
	mux.HandleFunc("GET /backup", a.backup)
	mux.HandleFunc("POST /restore", a.restore)
	mux.HandleFunc("DELETE /restore", a.restore)
	a.server = &http.Server{Handler: a.sameCluster(mux), ReadHeaderTimeout: time.Second, ReadTimeout: 5 * time.Second,
		ErrorLog: zap.NewStdLog(s.log)}
	go a.server.Serve(ln)
	return a, nil
}

func (a *admin) close() { a.server.Close() }

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func (a *admin) status() Status {
	s := a.store
	st := Status{Node: s.self.Name, State: s.raft.State().String(), Applied: s.raft.AppliedIndex(), Last: s.raft.LastIndex()}
	if p, ok := s.leader(); ok {
		st.Leader = p.Name
	}
	st.Watchers, st.Cluster, st.Foreign = len(a.watchers), s.cluster.id(), s.cluster.foreign()
	if s.mirror != nil {
		st.Mirrored, st.SQLError = s.mirror.progress()
	}
	return st
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
	w.Header().Set("ETag", tagOf(e.Index))
	w.Header().Set("Key-Version", strconv.FormatUint(e.Version, 10)) // puts since it was made
	answer(w, e.Value)
}

// fresh makes sure that what is read next is as fresh as the request asks for:
// linearizable, or ?stale=DURATION, or ?local=1. It answers the others.
func (a *admin) fresh(w http.ResponseWriter, r *http.Request) bool {
	q := r.URL.Query()
	f := Freshness{Local: q.Get("local") == "1"}
	if text := q.Get("stale"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			http.Error(w, "stale: want a duration above 0, such as 2s", http.StatusBadRequest)
			return false
		}
		f.Stale = d
	}
	age, err := a.store.fresh(r.Context(), f)
	if err != nil {
		unavailable(w, err)
		return false
	}
	if _, restoring := a.store.state.get(kv.RestoreKey); restoring && !f.Local {
		unavailable(w, kv.ErrRestoring)
		return false
	}
	if f.Stale > 0 {
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
	index, err := a.store.readIndex()
	if err != nil {
		unavailable(w, err)
		return
	}
	answer(w, readIndex{index})
}

// readIndex is the answer of a leader to GET /index.
type readIndex struct {
	Index uint64 `json:"index"`
}

func (a *admin) put(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	if r.Method == http.MethodPut {
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, valueMost))
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
	err := error(nil)
	if r.Header.Get("Forwarded") != "" && a.store.raft.State() != raft.Leader {
		err = errNoLeader // guards against two nodes that take each other for the leader
	} else {
		err = a.store.Set(r.Context(), r.PathValue("key"), value)
	}
	if err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// send sends a request to the leader, if that is another node.
func (a *admin) send(ctx context.Context, method, path string, body io.Reader, fields http.Header, by *http.Client) (*http.Response, error) {
	p, ok := a.store.leader()
	if !ok || p.Name == a.store.self.Name {
		return nil, errNoLeader
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.Admin+path, body)
	if err != nil {
		return nil, fmt.Errorf("ask leader: %w", err)
	}
	if id := a.store.cluster.id(); id != "" {
		req.Header.Set(headCluster, id)
	}
	copyFields(req.Header, fields, "If-Match", "If-None-Match", headSession, headNumber)
	req.Header.Set("Forwarded", "by="+a.store.self.Name)
	res, err := by.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask leader: %w", err)
	}
	return res, nil
}

func copyFields(to, from http.Header, names ...string) {
	for _, name := range names {
		if v := from.Get(name); v != "" {
			to.Set(name, v)
		}
	}
}

// ask reads the leader's good answer to a request.
func (a *admin) ask(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	res, err := a.send(ctx, method, path, bytes.NewReader(body), nil, a.client)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, 2*valueMost))
	if err == nil && res.StatusCode >= 300 {
		err = fmt.Errorf("leader at %s: %s", res.Request.URL.Host, bytes.TrimSpace(text))
	}
	return text, err
}

func (a *admin) forward(ctx context.Context, key string, value json.RawMessage) error {
	method := http.MethodPut
	if value == nil {
		method = http.MethodDelete
	}
	_, err := a.ask(ctx, method, "/store/"+key, value)
	return err
}

// indexOfLeader asks the leader how far the log was committed when it was asked.
func (a *admin) indexOfLeader(ctx context.Context) (uint64, error) {
	text, err := a.ask(ctx, http.MethodGet, "/index", nil)
	if err != nil {
		return 0, err
	}
	var at readIndex
	if err := json.Unmarshal(text, &at); err != nil {
		return 0, fmt.Errorf("leader's index: %w", err)
	}
	return at.Index, nil
}
