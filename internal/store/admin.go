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
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"
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
}

// admin is the operators' HTTP port, on a loopback address: GET /status,
// GET /store, and GET, PUT and DELETE /store/KEY. Nodes pass writes to their
// leader by it.
type admin struct {
	store  *Store
	server *http.Server
	client *http.Client
}

func serveAdmin(s *Store) (*admin, error) {
	a := &admin{store: s, client: &http.Client{Timeout: applyTimeout + time.Second}}
	ln, err := net.Listen("tcp", s.self.Admin)
	if err != nil {
		return nil, fmt.Errorf("admin address: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { answer(w, a.status()) })
	mux.HandleFunc("GET /store", func(w http.ResponseWriter, _ *http.Request) {
		all := map[string]json.RawMessage{}
		for key, e := range s.state.since(0) {
			if !e.Gone {
				all[key] = e.Value
			}
		}
		answer(w, all)
	})
	mux.HandleFunc("GET /store/{key...}", a.get)
	mux.HandleFunc("PUT /store/{key...}", a.put)
	mux.HandleFunc("DELETE /store/{key...}", a.put)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, ReadTimeout: 5 * time.Second,
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
	if s.mirror != nil {
		st.Mirrored, st.SQLError = s.mirror.progress()
	}
	return st
}

func (a *admin) get(w http.ResponseWriter, r *http.Request) {
	v, ok := a.store.Get(r.PathValue("key"))
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	answer(w, v)
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
	err := error(nil)
	if r.Header.Get("Forwarded") != "" && a.store.raft.State() != raft.Leader {
		err = errNoLeader // guards against two nodes that take each other for the leader
	} else {
		err = a.store.Set(r.Context(), r.PathValue("key"), value)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// ask sends a request to the leader.
func (a *admin) ask(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	p, ok := a.store.leader()
	if !ok || p.Name == a.store.self.Name {
		return nil, errNoLeader
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.Admin+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("ask leader: %w", err)
	}
	req.Header.Set("Forwarded", "by="+a.store.self.Name)
	res, err := a.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask leader: %w", err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, 2*valueMost))
	if err == nil && res.StatusCode >= 300 {
		err = fmt.Errorf("leader %s: %s", p.Name, bytes.TrimSpace(text))
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

func (a *admin) statusOfLeader(ctx context.Context) (Status, error) {
	var st Status
	text, err := a.ask(ctx, http.MethodGet, "/status", nil)
	if err == nil {
		err = json.Unmarshal(text, &st)
	}
	if err == nil && st.State != raft.Leader.String() {
		err = errNoLeader
	}
	return st, err
}
