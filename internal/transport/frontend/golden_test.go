package frontend

import (
	"maps"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/proxy/exchange"
)

// TestGoldenFields checks how each header of a request is decoded, and which values are rejected.
func TestGoldenFields(t *testing.T) {
	now := time.Now()
	classes := map[string]Class{"read": {Index: 3}, "write": {Index: 4, NeedsIdempotencyKey: true}}
	requiredHeaders := map[string]string{"Trace-Id": "0123456789abcdef", "Reserve-Kb": "1.5", "Accepted-At-Ms": strconv.FormatInt(now.UnixMilli(), 10)}
	decode := func(path, method, name, value string) (*exchange.Request, error) {
		headers := maps.Clone(requiredHeaders)
		if name != "" {
			headers[name] = value
		}
		return RawRequest{Path: path, Method: method, Header: func(name string) string { return headers[name] }}.Decode(classes, now)
	}
	plain, err := decode("/call/read", "POST", "", "")
	require.NoError(t, err)
	require.LessOrEqual(t, now.Sub(plain.ArrivedAt), time.Millisecond)
	plain.ArrivedAt = time.Time{}
	require.Equal(t, exchange.Request{TraceID: "0123456789abcdef", Class: 3, ReservedKB: 1.5}, *plain)

	for _, f := range []struct {
		name, value string
		set         func(*exchange.Request)
	}{
		{"Project", "north", func(r *exchange.Request) { r.Tenant = "north" }},
		{"Lookup-Key", "k", func(r *exchange.Request) { r.HasLookupKey = true }},
		{"Is-Retry", "1", func(r *exchange.Request) { r.IsRetry = true }},
		{"Replay-Key", "k", func(*exchange.Request) {}}, // ignored, as the class needs no idempotency key
		{"Client-No", "2147483647", func(*exchange.Request) {}},
		{"Expected-Ms", "12.5", func(r *exchange.Request) { r.ExpectedWork = 12500 * time.Microsecond }},
		{"Max-Wait-Ms", "1000000000", func(r *exchange.Request) { r.Timeout = 1e9 * time.Millisecond }},
		{"Reserve-Kb", "1999.9", func(r *exchange.Request) { r.ReservedKB = 1999.9 }},
		{"Standing", "0.5", func(r *exchange.Request) { r.Rank = 0.5 }},
		{"Trace-Id", "ABCDEF0123456789", func(r *exchange.Request) { r.TraceID = "ABCDEF0123456789" }},
	} {
		r, err := decode("/call/read", "POST", f.name, f.value)
		require.NoError(t, err, f.name)
		r.ArrivedAt = time.Time{}
		want := *plain
		f.set(&want)
		require.Equal(t, want, *r, f.name)
	}
	r, err := decode("/call/write", "POST", "Replay-Key", "key~1")
	require.NoError(t, err)
	require.Equal(t, "key~1", r.IdempotencyKey)
	early, err := decode("/call/read", "POST", "Accepted-At-Ms", strconv.FormatInt(now.Add(-time.Second).UnixMilli(), 10))
	require.NoError(t, err)
	require.InDelta(t, time.Second, now.Sub(early.ArrivedAt), float64(time.Millisecond))

	for _, invalid := range [][4]string{
		{"/call/none", "POST"}, {"/read", "POST"}, {"/call/read", "GET"}, {"/call/write", "POST"},
		{"/call/write", "POST", "Replay-Key", strings.Repeat("k", 129)}, {"/call/write", "POST", "Replay-Key", "a,b"}, {"/call/write", "POST", "Replay-Key", "a b"},
		{"/call/read", "POST", "Trace-Id", "0123"}, {"/call/read", "POST", "Trace-Id", ""}, {"/call/read", "POST", "Is-Retry", "0"},
		{"/call/read", "POST", "Client-No", "-1"}, {"/call/read", "POST", "Client-No", "2147483648"},
		{"/call/read", "POST", "Accepted-At-Ms", ""}, {"/call/read", "POST", "Accepted-At-Ms", "1"},
		{"/call/read", "POST", "Accepted-At-Ms", strconv.FormatInt(now.Add(time.Minute+time.Second).UnixMilli(), 10)},
		{"/call/read", "POST", "Expected-Ms", "1000001"}, {"/call/read", "POST", "Max-Wait-Ms", "1000000001"}, {"/call/read", "POST", "Reserve-Kb", ""},
		{"/call/read", "POST", "Reserve-Kb", "0"}, {"/call/read", "POST", "Reserve-Kb", "2000"}, {"/call/read", "POST", "Reserve-Kb", "1e2"},
		{"/call/read", "POST", "Standing", "1"}, {"/call/read", "POST", "Standing", "-0.5"}, {"/call/read", "POST", "Standing", "NaN"},
	} {
		_, err := decode(invalid[0], invalid[1], invalid[2], invalid[3])
		require.Error(t, err, invalid)
		if invalid[2] != "" {
			require.ErrorContains(t, err, invalid[2])
		}
	}
}

// TestGoldenReplies checks the status, headers and body of each kind of response.
func TestGoldenReplies(t *testing.T) {
	x := exchange.New(1)
	require.Empty(t, CommonHeaders(x))
	x.SetAdvertisedValue(0.125)
	require.Equal(t, []Header{{"Feedback", "0.125"}}, CommonHeaders(x))
	require.Equal(t, HTTPResponse{Status: 200}, HealthResponse(true))
	require.Equal(t, HTTPResponse{Status: 503}, HealthResponse(false))
	require.Equal(t, HTTPResponse{Status: 200, Body: []byte("b")}, NewHTTPResponse(exchange.Response{Kind: exchange.Succeeded, Body: []byte("b")}))
	require.Equal(t, HTTPResponse{Status: 500}, NewHTTPResponse(exchange.Response{Kind: exchange.Failed, InvalidRequest: true}))
	require.Equal(t, HTTPResponse{Status: 503}, NewHTTPResponse(exchange.Response{Kind: exchange.Rejected}))
	require.Equal(t, HTTPResponse{Status: 503, Headers: []Header{{"Hold-Off-Ms", "1"}, {"No-Other-Server", "1"}}},
		NewHTTPResponse(exchange.Response{Kind: exchange.Rejected, RetryAfter: 1, NoRetryElsewhere: true}))
}
