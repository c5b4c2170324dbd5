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
	HeaderCluster       = "Cluster"        // the id of the cluster that is asked, or answers
	HeaderSession       = "Session"        // of a write
	HeaderRequestNumber = "Request-Number" // of a write in its session
	HeaderLease         = "Lease"          // NAME/TOKEN: a write that is done only while that lease is held under that token
	HeaderRevision      = "Store-Revision" // up to which an answer knows the store
	HeaderLastEventID   = "Last-Event-ID"
)

const (
	WatchProgressInterval = 2 * time.Second                  // a quiet stream says so often how far it is
	MaxEventBytes         = 2 * kv.MaxOps * kv.MaxValueBytes // bytes of one event
	RestoreTimeout        = time.Minute
	CommitTimeout         = 3 * time.Second  // for which a leader waits for a majority
	MaxLeaseWait          = 30 * time.Second // for which one request waits for a lease
	MaxRenewals           = 4096             // leases that one request keeps alive
)

// Status is what a node tells of itself.
type Status struct {
	Node          string `json:"node"`
	State         string `json:"state"` // Raft's, or what the node waits for
	Leader        string `json:"leader"`
	AppliedIndex  uint64 `json:"applied"`
	LastIndex     uint64 `json:"last"`            // of the node's log
	MirroredIndex uint64 `json:"mirrored"`        // the index up to which the store of record has all
	SQLError      string `json:"error,omitempty"` // why it hasn't more
	Watchers      int    `json:"watchers"`
	Cluster       string `json:"cluster,omitempty"` // its id, once it is known
	ForeignPeers  string `json:"foreign,omitempty"` // peers that are of another cluster
	ID            string `json:"id,omitempty"`      // the node's name and its disk's identity
	WaitingFor    string `json:"waits,omitempty"`   // for what, if the node doesn't take part
}

// PeerStatus is what a node tells another one: of itself, and of what it has seen of the
// asker's disk.
type PeerStatus struct {
	diskidentity.Attestation
	State          string                 `json:"state"` // serving, waiting, failed
	Mark           diskidentity.Watermark `json:"mark"`
	AppliedIndex   uint64                 `json:"applied"`
	RaftAddress    string                 `json:"raft"`
	AdminAddress   string                 `json:"admin"`
	Zone           string                 `json:"zone,omitempty"`
	SupportsLeases bool                   `json:"leases,omitempty"` // the node knows them
	// Checks are checksums of its state, to be compared.
	Checksums kv.ChecksumHistory `json:"checks,omitempty"`
	// Addresses of the members, for one that does not know of all of them.
	Addresses map[string]string `json:"addresses,omitempty"`
}

// Member is a row of GET /members.
type Member struct {
	Name          string `json:"name"`
	ID            string `json:"id"` // name and disk
	Zone          string `json:"zone,omitempty"`
	Role          string `json:"role"` // voter or learner
	EntriesBehind uint64 `json:"behind"`
	State         string `json:"state"` // leader, up, leaving, lost, or for how long it is down
	AdminAddress  string `json:"admin"`
	NextStep      string `json:"next,omitempty"` // the step to be taken with it
	Reason        string `json:"why,omitempty"`
}

// Members is the answer to GET /members, by the leader.
type Members struct {
	Leader       string   `json:"leader"`
	ConfigIndex  uint64   `json:"index"` // of the configuration in the log
	WantedVoters int      `json:"voters_wanted"`
	Members      []Member `json:"members"`
	Removed      []string `json:"removed,omitempty"` // names that may not join
}

// JoinRequest asks for a place as a learner.
type JoinRequest struct {
	ID           string `json:"id"`
	RaftAddress  string `json:"raft"`
	AdminAddress string `json:"admin"`
	Zone         string `json:"zone,omitempty"`
	// Leases: the node knows them. A cluster that has leases takes no other.
	SupportsLeases bool `json:"leases,omitempty"`
}

// LeaseStatus is a row of GET /lease, and the answer to whoever asks for one.
type LeaseStatus struct {
	Name        string         `json:"name"`
	Holder      string         `json:"holder"`
	Token       uint64         `json:"token"`
	TTLMS       int64          `json:"ttl_ms"`
	RemainingMS int64          `json:"left_ms,omitempty"` // without a keep-alive, as the leader counts
	Revoked     bool           `json:"revoked,omitempty"`
	Waiters     []lease.Waiter `json:"waiters,omitempty"` // who is next goes first
}

// AcquireRequest asks for a lease.
type AcquireRequest struct {
	Holder   string `json:"holder"` // nobody else goes by this name
	TTLMS    int64  `json:"ttl_ms"`
	WaitMS   int64  `json:"wait_ms"` // 0 is not at all
	Priority int    `json:"priority"`
}

// RenewRequest keeps leases alive: one (Token, as the path names it), or many.
type RenewRequest struct {
	Token  uint64               `json:"token,omitempty"`
	Leases []lease.FencingToken `json:"leases,omitempty"`
}

// RenewResponse names leases that are not the caller's any more.
type RenewResponse struct {
	Lost []string `json:"gone"`
}

// ParseFencingToken reads NAME/TOKEN.
func ParseFencingToken(text string) (h lease.FencingToken, err error) {
	at := strings.LastIndex(text, "/")
	if at > 0 {
		h.Name = text[:at]
		h.Token, err = strconv.ParseUint(text[at+1:], 10, 64)
	}
	if at <= 0 || err != nil || h.Token == 0 {
		return h, fmt.Errorf("%w: %s: %.150q is not NAME/TOKEN", kv.ErrInvalidRequest, HeaderLease, text)
	}
	return h, nil
}

// ReadIndexResponse is the answer of a leader to GET /index.
type ReadIndexResponse struct {
	Index uint64 `json:"index"`
}

// RestoreResponse is what a restore came to.
type RestoreResponse struct {
	SourceCluster string `json:"from"` // the cluster that the backup was taken from
	Cluster       string `json:"cluster"`
	Keys          int    `json:"keys"`
	SHA256        string `json:"sha256"`
}

// CompactedResponse is the typed answer to a position that is gone.
type CompactedResponse struct {
	Error          string `json:"error"` // "compacted"
	OldestRevision uint64 `json:"oldest"`
}

// StatusError is an answer that is none of the store's good ones.
type StatusError struct {
	StatusCode int
	Text       string
}

func (e *StatusError) Error() string { return fmt.Sprintf("%s (%d)", e.Text, e.StatusCode) }

// NewStatusError makes one of an answer's text.
func NewStatusError(code int, text []byte) error {
	return &StatusError{code, string(bytes.TrimSpace(text))}
}

// FormatETag is a revision as an entity tag.
func FormatETag(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }

// ParseETag reads an entity tag.
func ParseETag(text string) (uint64, error) {
	inner, ok := strings.CutPrefix(text, `"`)
	inner, ok2 := strings.CutSuffix(inner, `"`)
	n, err := strconv.ParseUint(inner, 10, 64)
	if !ok || !ok2 || err != nil || n == 0 {
		return 0, fmt.Errorf("%w: %q is no tag of a revision", kv.ErrInvalidRequest, text)
	}
	return n, nil
}

// WriteJSON writes JSON.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
