package storeadmin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/cluster/watch"
	"oxbowbridge/internal/maintenance"
	"oxbowbridge/internal/maintenance/controller"
	"oxbowbridge/internal/testrig/golden"
)

// TestGoldenErrors checks the status code, the header fields and the text of the response to each error.
func TestGoldenErrors(t *testing.T) {
	var lines strings.Builder
	for _, err := range []error{
		kv.ErrInvalidRequest, lease.ErrInvalidRequest, maintenance.ErrInvalidOrder, kv.ErrSessionNotFound, lease.ErrNotHolder, store.ErrMemberRejected, store.ErrMemberNotFound, controller.ErrOrderNotFound,
		kv.ErrFenced, kv.ErrStaleRequest, lease.ErrWaiterNotFound, maintenance.ErrWrongPhase, kv.ErrFull,
		controller.ErrConflict, kv.ErrRestoring, lease.ErrTooMany, lease.ErrHeld, store.ErrNoLeader, store.ErrNotServing, store.ErrLeasesUnavailable, store.ErrNotFresh,
		store.ErrTooManyWrites, store.ErrNotEmpty, errTooManyRequests, errors.New("another"),
	} {
		w := httptest.NewRecorder()
		writeError(w, fmt.Errorf("%w: detail", err))
		writeResponse(&lines, err.Error(), w.Result())
	}
	golden.Text(t, "testdata/errors.golden", lines.String())
}

// TestGoldenStream checks the bytes of a watch stream, and those of a compacted position, both at the start of the
// response and within a stream.
func TestGoldenStream(t *testing.T) {
	var lines strings.Builder
	w := httptest.NewRecorder()
	s := newEventStream(w)
	s.writeProgress(7)
	s.writeEvent("change", 8, watch.Revision{Number: 8, Changes: []watch.Change{{Key: "a/b", Value: []byte(`{"x":1}`)}, {Key: "c", Deleted: true}}})
	s.flush()
	s.writeCompacted(12)
	writeResponse(&lines, "stream", w.Result())
	w = httptest.NewRecorder()
	s = newEventStream(w)
	s.writeCompacted(12)
	writeResponse(&lines, "compacted", w.Result())
	golden.Text(t, "testdata/stream.golden", lines.String())
}

// TestGoldenAnswers checks the responses of a single-node store to the requests that operators, other nodes and lease
// holders send. Numbers and ids that differ from run to run are replaced.
func TestGoldenAnswers(t *testing.T) {
	admin := startSingleNode(t)
	var lines strings.Builder
	var token, session string
	for _, line := range strings.Split(strings.TrimSpace(requestScript), "\n") {
		fields := strings.SplitN(line, " ", 4)
		method, path, headers, body := fields[0], fields[1], "-", ""
		if len(fields) > 2 {
			headers = fields[2]
		}
		if len(fields) > 3 {
			body = fields[3]
		}
		placeholders := strings.NewReplacer("TOKEN", token, "SESSION", session)
		req, err := http.NewRequestWithContext(t.Context(), method, "http://"+admin+placeholders.Replace(path), strings.NewReader(placeholders.Replace(body)))
		require.NoError(t, err)
		for header := range strings.SplitSeq(headers, ",") {
			if name, value, ok := strings.Cut(header, "="); ok {
				req.Header.Set(name, placeholders.Replace(value))
			}
		}
		res, err := http.DefaultClient.Do(req)
		require.NoError(t, err, line)
		text := writeResponse(&lines, line, res)
		if found := regexp.MustCompile(`"token":(\d+)`).FindStringSubmatch(text); found != nil {
			token = found[1]
		}
		if found := regexp.MustCompile(`"session":(\d+)`).FindStringSubmatch(text); found != nil {
			session = found[1]
		}
	}
	golden.Text(t, "testdata/answers.golden", lines.String())
}

// requestScript has one request per line: method, path, header fields (or -) and body. TOKEN and SESSION stand for the
// last token and session in a response.
const requestScript = `GET /status
GET /self
GET /self?from=b
GET /index
GET /store
GET /store/none
PUT /store/a - {"x":1}
PUT /store/a - {
PUT /store/_cluster/id - 1
GET /store/a
GET /store/a?local=1
GET /store/a?stale=2s
GET /store/a?stale=x
PUT /store/b If-None-Match=* 2
PUT /store/b If-None-Match=* 3
PUT /store/b If-None-Match=x 3
PUT /store/b If-Match="1" 3
PUT /store/b If-Match=1 3
PUT /store/b Session=x 3
PUT /store/b Session=999,Request-Number=1 3
PUT /store/b Lease=job 3
PUT /store/b Lease=job/7 3
DELETE /store/b
GET /store
GET /store Cluster=another
POST /session
PUT /store/c Session=SESSION,Request-Number=1 4
PUT /store/c Session=SESSION,Request-Number=1 5
GET /store/c
POST /txn - {"if":[{"key":"a","revision":1}],"then":[{"do":"put","key":"a","value":9}],"else":[{"do":"get","key":"a"}]}
POST /txn - {"then":[{"do":"get","key":"none"},{"do":"put","key":"d","value":null}]}
POST /txn - {"then":[{"do":"put","key":"_cluster/x","value":1}]}
POST /txn - {"open":true}
POST /txn - {"unknown":true}
POST /txn - {"session":SESSION,"number":1,"then":[{"do":"get","key":"a"}]}
POST /txn - {"session":SESSION,"number":2,"then":[{"do":"get","key":"a"}]}
GET /members
PUT /members/n9
DELETE /members/n1
POST /members/n8
GET /members
POST /members - {"id":"n9@7","raft":"","admin":"127.0.0.1:1","zone":"z"}
GET /lease
GET /lease/job
POST /lease/job - {"holder":"h1","ttl_ms":60000,"wait_ms":0,"priority":0}
POST /lease/job - {"holder":"h2","ttl_ms":60000,"wait_ms":0,"priority":0}
POST /lease/job - {"holder":"h3","ttl_ms":60000,"wait_ms":60,"priority":3}
POST /lease/job - {"holder":"h3","ttl_ms":60000,"wait_ms":60000,"priority":3}
POST /lease/job - {"holder":"h3","ttl_ms":1,"wait_ms":0,"priority":3}
POST /lease/job - {"holder":"h3","ttl":1}
PUT /lease/job - {"token":TOKEN}
PUT /lease/job - {"token":1}
PUT /lease - {"leases":[{"name":"job","token":TOKEN},{"name":"other","token":3}]}
PUT /lease - {"leases":[]}
PUT /store/f Lease=job/TOKEN {"by":"h1"}
GET /lease
GET /lease/job
DELETE /lease/job
DELETE /lease/job?token=1
DELETE /lease/job?token=TOKEN&to=nobody
DELETE /lease/job?revoke=1
GET /lease/job
DELETE /lease/job?token=TOKEN
DELETE /lease/job?token=TOKEN
GET /work
POST /work - {"node":"m1","reason":"kernel","for_ms":60000,"priority":2,"latest_ms":0}
POST /work - {"node":"m1","reason":"kernel","for_ms":60000,"priority":2}
POST /work - {"node":"/","reason":"kernel","for_ms":60000}
GET /work
PUT /work/m1/beat - {"name":"m1","zone":"z1","cores":4,"speed":1.5,"state":"in","busy":0.25,"age_ms":0,"voter":true,"copies":["r1"],"every_ms":1000,"number":7,"grant":3}
PUT /work/m2/beat - {"name":"m2","zone":"z1","cores":4,"speed":1.5,"state":"in","busy":0.25,"age_ms":0,"voter":true,"every_ms":1000,"number":7}
PUT /work/m3/beat - {"every_ms":1}
PUT /work/m1 - {"state":"draining","grant":5}
PUT /work/m9 - {"state":"back"}
POST /work/pause - {"why":"by us"}
GET /work
POST /work/resume - {"why":""}
DELETE /work/m1
DELETE /work/m1
GET /watch?from=x
GET /backup
POST /restore - damaged
DELETE /restore
GET /nowhere
DELETE /status`

// startSingleNode starts a single-node store, waits until it serves requests, and returns its admin address.
func startSingleNode(t *testing.T) string {
	addresses := make([]string, 2)
	for i := range addresses {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		addresses[i] = ln.Addr().String()
		require.NoError(t, ln.Close())
	}
	s, _, err := Open(store.Config{Node: "n1", Dir: t.TempDir(), Peers: []store.Peer{{Name: "n1", Raft: addresses[0], Admin: addresses[1], Zone: "z1"}}}, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.Eventually(t, func() bool {
		if !s.IsLeader() || s.ClusterID() == "" {
			return false
		}
		_, there := s.Entry(kv.LeasesEnabledKey)
		return there
	}, 20*time.Second, 20*time.Millisecond)
	return addresses[1]
}

var (
	volatileNumber = regexp.MustCompile(`"(applied|last|index|revision|session|token|left_ms|since_ms|asked_ms|time_ms|ticket|age_ms|starts|term|last_term|last_index|config|sum|from|bytes)":-?\d+`)
	volatileText   = regexp.MustCompile(`n1@[0-9a-f-]+|127\.0\.0\.1:\d+|"cluster":"[^"]+"|"sha256":"[^"]+"|of cluster [^,]+,|job/\d+|the last is \d+`)
	volatileChecks = regexp.MustCompile(`"checks":\[[^\]]*\],?`)
)

// writeResponse writes a response to out without the parts that differ from run to run. It returns the unchanged body.
func writeResponse(out *strings.Builder, title string, res *http.Response) string {
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	fmt.Fprintf(out, "== %s\n%d\n", title, res.StatusCode)
	var names []string
	for name := range res.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		value := res.Header.Get(name)
		switch name {
		case "Date", "Content-Length":
			continue
		case "Cluster", "Etag", "Store-Revision", "Age-Ms":
			value = "..."
		}
		fmt.Fprintf(out, "%s: %s\n", name, value)
	}
	text := volatileChecks.ReplaceAll(body, nil)
	text = volatileNumber.ReplaceAll(text, []byte(`"$1":...`))
	text = volatileText.ReplaceAll(text, []byte("..."))
	fmt.Fprintf(out, "%s\n", bytes.TrimRight(text, "\n"))
	return string(body)
}
