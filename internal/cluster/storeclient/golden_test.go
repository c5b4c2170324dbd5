package storeclient

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/cluster/watch"
	"oxbowbridge/internal/maintenance"
	"oxbowbridge/internal/testrig/golden"
)

// TestGoldenRequests checks that the client's requests and its handling of the responses are unchanged.
// The test server belongs to cluster c1 and returns the queued responses in order.
func TestGoldenRequests(t *testing.T) {
	var lines strings.Builder
	newResponse := func(code int, body string) *http.Response {
		return &http.Response{StatusCode: code, Body: io.NopCloser(strings.NewReader(body))}
	}
	var responses []*http.Response
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(&lines, "%s %s", r.Method, r.URL.RequestURI())
		var names []string
		for name := range r.Header {
			if name != "Accept-Encoding" && name != "User-Agent" {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		for _, name := range names {
			fmt.Fprintf(&lines, " %s=%s", name, r.Header.Get(name))
		}
		fmt.Fprintf(&lines, "\n%s\n", body)
		w.Header().Set("Cluster", "c1")
		w.Header().Set("ETag", `"9"`)
		w.Header().Set("Store-Revision", "11")
		response := responses[0]
		responses = responses[1:]
		w.WriteHeader(response.StatusCode)
		io.Copy(w, response.Body)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	c := New([]string{address})
	ctx := t.Context()
	call := func(do func() (any, error), queued ...*http.Response) {
		responses = queued
		result, err := do()
		text, marshalErr := json.Marshal(result)
		require.NoError(t, marshalErr)
		fmt.Fprintf(&lines, "-> %s %v\n", text, err)
		require.Empty(t, responses)
	}
	revision := uint64(4)
	call(func() (any, error) { return c.Status(ctx, address) }, newResponse(200, `{"node":"n1"}`))
	call(func() (any, error) { v, r, err := c.Get(ctx, "a", "?local=1"); return []any{string(v), r}, err }, newResponse(200, `{"x":1}`))
	call(func() (any, error) { v, r, err := c.Get(ctx, "a", ""); return []any{string(v), r}, err }, newResponse(404, `no such key`))
	call(func() (any, error) { v, r, err := c.List(ctx, "?stale=2s"); return []any{v, r}, err }, newResponse(200, `{}`))
	call(func() (any, error) { return c.Txn(ctx, kv.Request{Then: []kv.Op{{Kind: "get", Key: "a"}}}) }, newResponse(200, `{"session":7}`), newResponse(200, `{"held":true}`))
	call(func() (any, error) { return c.Put(ctx, "a", []byte(`1`), &revision) }, newResponse(200, `{"held":false,"results":[{"key":"a","revision":5}]}`))
	call(func() (any, error) { return c.Delete(ctx, "a", nil) }, newResponse(200, `{"held":true}`))
	call(func() (any, error) { return c.Members(ctx) }, newResponse(200, `{"leader":"n1"}`))
	call(func() (any, error) { return nil, c.ChangeMember(ctx, http.MethodPost, "n2") }, newResponse(404, `no such member`))
	acquire := storeapi.AcquireRequest{Holder: "h1", TTLMS: 5000, WaitMS: 100, Priority: 2}
	call(func() (any, error) { return c.AcquireLease(ctx, "a/job", acquire) }, newResponse(200, `{"name":"a/job","token":8}`))
	call(func() (any, error) { return c.AcquireLease(ctx, "a/job", acquire) }, newResponse(409, `{"name":"a/job","holder":"h2","token":8}`))
	call(func() (any, error) { return c.AcquireLease(ctx, "a/job", acquire) }, newResponse(400, `bad lease request`))
	call(func() (any, error) { return c.RenewLeases(ctx, []lease.FencingToken{{Name: "a/job", Token: 8}}) }, newResponse(200, `{"gone":["a/job"]}`))
	call(func() (any, error) { return nil, c.ReleaseLease(ctx, "a/job", 8, "h 2") }, newResponse(204, ``))
	call(func() (any, error) { return nil, c.ReleaseLease(ctx, "a/job", 8, "") }, newResponse(410, `gone`))
	call(func() (any, error) { return nil, c.RevokeLease(ctx, "a/job") }, newResponse(204, ``))
	call(func() (any, error) { return c.ListLeases(ctx) }, newResponse(200, `[]`))
	call(func() (any, error) { return c.GetLease(ctx, "a/job") }, newResponse(200, `{"name":"a/job"}`))
	var order maintenance.Order
	var heartbeat maintenance.Heartbeat
	var report maintenance.PhaseReport
	golden.Fill(&order)
	golden.Fill(&heartbeat)
	golden.Fill(&report)
	call(func() (any, error) { return c.SubmitOrder(ctx, order) }, newResponse(200, `{"node":"m1","state":"asked"}`))
	call(func() (any, error) { return c.MaintenanceStatus(ctx) }, newResponse(200, `{"order":"n1"}`))
	call(func() (any, error) { return nil, c.CancelOrder(ctx, "m1") }, newResponse(204, ``))
	call(func() (any, error) { return nil, c.PauseMaintenance(ctx, true, "by us") }, newResponse(204, ``))
	call(func() (any, error) { return nil, c.PauseMaintenance(ctx, false, "") }, newResponse(204, ``))
	call(func() (any, error) { return nil, c.ReportPhase(ctx, "m1", report) }, newResponse(409, `busy`))
	call(func() (any, error) { j, err := c.SendHeartbeat(ctx, heartbeat); return *j, err }, newResponse(200, `{"node":"m1"}`))
	call(func() (any, error) { h, text, err := c.Backup(ctx); return []any{h, len(text)}, err }, newResponse(200, `damaged`))
	call(func() (any, error) { return nil, c.UndoRestore(ctx) }, newResponse(204, ``))
	call(func() (any, error) {
		return nil, c.Watch(ctx, "a/", 7, func(r watch.Revision) error {
			text, err := json.Marshal(r)
			fmt.Fprintf(&lines, "revision %s\n", text)
			return err
		})
	}, newResponse(200, "id: 6\nevent: progress\ndata: {\"revision\":6}\n\nid: 8\nevent: change\ndata: {\"revision\":8,\"changes\":[{\"key\":\"a/b\",\"gone\":true}]}\n\nevent: compacted\ndata: {\"error\":\"compacted\",\"oldest\":12}\n\n"))
	call(func() (any, error) { return nil, c.Watch(ctx, "a/", 0, nil) }, newResponse(410, `{"error":"compacted","oldest":12}`))
	golden.Text(t, "testdata/requests.golden", strings.ReplaceAll(lines.String(), address, "NODE"))
}
