// Package storeapi holds the words of the store's admin port, which its HTTP surface
// (internal/cluster/storeadmin) says and its client (internal/cluster/storeclient) understands.
package storeapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
)

// Fields of requests and answers.
const (
	HeadCluster  = "Cluster"        // the id of the cluster that is asked, or answers
	HeadSession  = "Session"        // of a write
	HeadNumber   = "Request-Number" // of a write in its session
	HeadLease    = "Lease"          // NAME/TOKEN: a write that is done only while that lease is held under that token
	HeadRevision = "Store-Revision" // up to which an answer knows the store
	HeadEventID  = "Last-Event-ID"
)

const (
	WatchProgress = 2 * time.Second            // a quiet stream says so often how far it is
	EventMost     = 2 * kv.Ops * kv.ValueBytes // bytes of one event
	RestoreTime   = time.Minute
	ApplyTime     = 3 * time.Second  // for which a leader waits for a majority
	WaitMost      = 30 * time.Second // for which one request waits for a lease
	RenewMost     = 4096             // leases that one request keeps alive
)

// Status is what a node tells of itself.
type Status struct {
	Node     string `json:"node"`
	State    string `json:"state"` // Raft's, or what the node waits for
	Leader   string `json:"leader"`
	Applied  uint64 `json:"applied"`
	Last     uint64 `json:"last"`            // of the node's log
	Mirrored uint64 `json:"mirrored"`        // the index up to which the store of record has all
	SQLError string `json:"error,omitempty"` // why it hasn't more
	Watchers int    `json:"watchers"`
	Cluster  string `json:"cluster,omitempty"` // its id, once it is known
	Foreign  string `json:"foreign,omitempty"` // peers that are of another cluster
	ID       string `json:"id,omitempty"`      // the node's name and its disk's identity
	Waits    string `json:"waits,omitempty"`   // for what, if the node doesn't take part
}

// Self is what a node tells another one: of itself, and of what it has seen of the
// asker's disk.
type Self struct {
	diskidentity.Attestation
	State   string                 `json:"state"` // serving, waiting, failed
	Mark    diskidentity.Watermark `json:"mark"`
	Applied uint64                 `json:"applied"`
	Raft    string                 `json:"raft"`
	Admin   string                 `json:"admin"`
	Zone    string                 `json:"zone,omitempty"`
	Leases  bool                   `json:"leases,omitempty"` // the node knows them
	// Checks are checksums of its state, to be compared.
	Checks kv.Checks `json:"checks,omitempty"`
	// Addresses of the members, for one that does not know of all of them.
	Addresses map[string]string `json:"addresses,omitempty"`
}

// Member is a row of GET /members.
type Member struct {
	Name   string `json:"name"`
	ID     string `json:"id"` // name and disk
	Zone   string `json:"zone,omitempty"`
	Role   string `json:"role"` // voter or learner
	Behind uint64 `json:"behind"`
	State  string `json:"state"` // leader, up, leaving, lost, or for how long it is down
	Admin  string `json:"admin"`
	Next   string `json:"next,omitempty"` // the step to be taken with it
	Why    string `json:"why,omitempty"`
}

// Members is the answer to GET /members, by the leader.
type Members struct {
	Leader  string   `json:"leader"`
	Index   uint64   `json:"index"` // of the configuration in the log
	Voters  int      `json:"voters_wanted"`
	Members []Member `json:"members"`
	Removed []string `json:"removed,omitempty"` // names that may not join
}

// Join asks for a place as a learner.
type Join struct {
	ID    string `json:"id"`
	Raft  string `json:"raft"`
	Admin string `json:"admin"`
	Zone  string `json:"zone,omitempty"`
	// Leases: the node knows them. A cluster that has leases takes no other.
	Leases bool `json:"leases,omitempty"`
}

// Lease is a row of GET /lease, and the answer to whoever asks for one.
type Lease struct {
	Name    string         `json:"name"`
	Holder  string         `json:"holder"`
	Token   uint64         `json:"token"`
	TTLMS   int64          `json:"ttl_ms"`
	LeftMS  int64          `json:"left_ms,omitempty"` // without a keep-alive, as the leader counts
	Revoked bool           `json:"revoked,omitempty"`
	Waiters []lease.Waiter `json:"waiters,omitempty"` // who is next goes first
}

// Acquire asks for a lease.
type Acquire struct {
	Holder   string `json:"holder"` // nobody else goes by this name
	TTLMS    int64  `json:"ttl_ms"`
	WaitMS   int64  `json:"wait_ms"` // 0 is not at all
	Priority int    `json:"priority"`
}

// Renew keeps leases alive: one (Token, as the path names it), or many.
type Renew struct {
	Token  uint64       `json:"token,omitempty"`
	Leases []lease.Held `json:"leases,omitempty"`
}

// Gone names leases that are not the caller's any more.
type Gone struct {
	Gone []string `json:"gone"`
}

// ParseLease reads NAME/TOKEN.
func ParseLease(text string) (h lease.Held, err error) {
	at := strings.LastIndex(text, "/")
	if at > 0 {
		h.Name = text[:at]
		h.Token, err = strconv.ParseUint(text[at+1:], 10, 64)
	}
	if at <= 0 || err != nil || h.Token == 0 {
		return h, fmt.Errorf("%w: %s: %.150q is not NAME/TOKEN", kv.ErrRequest, HeadLease, text)
	}
	return h, nil
}

// ReadIndex is the answer of a leader to GET /index.
type ReadIndex struct {
	Index uint64 `json:"index"`
}

// Restored is what a restore came to.
type Restored struct {
	From    string `json:"from"` // the cluster that the backup was taken from
	Cluster string `json:"cluster"`
	Keys    int    `json:"keys"`
	SHA256  string `json:"sha256"`
}

// Compacted is the typed answer to a position that is gone.
type Compacted struct {
	Error  string `json:"error"` // "compacted"
	Oldest uint64 `json:"oldest"`
}

// StatusError is an answer that is none of the store's good ones.
type StatusError struct {
	Code int
	Text string
}

func (e *StatusError) Error() string { return fmt.Sprintf("%s (%d)", e.Text, e.Code) }

// Refused makes one of an answer's text.
func Refused(code int, text []byte) error {
	return &StatusError{code, string(bytes.TrimSpace(text))}
}

// Tag is a revision as an entity tag.
func Tag(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }

// ParseTag reads an entity tag.
func ParseTag(text string) (uint64, error) {
	inner, ok := strings.CutPrefix(text, `"`)
	inner, ok2 := strings.CutSuffix(inner, `"`)
	n, err := strconv.ParseUint(inner, 10, 64)
	if !ok || !ok2 || err != nil || n == 0 {
		return 0, fmt.Errorf("%w: %q is no tag of a revision", kv.ErrRequest, text)
	}
	return n, nil
}

// Answer writes JSON.
func Answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
