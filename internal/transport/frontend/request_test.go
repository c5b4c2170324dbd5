package frontend

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOptionalFields checks the tenant and the timeout, which only callers at some sites send.
func TestOptionalFields(t *testing.T) {
	now := time.Now()
	headers := map[string]string{"Trace-Id": "0123456789abcdef", "Reserve-Kb": "1", "Project": "north", "Max-Wait-Ms": "5220"}
	raw := RawRequest{Path: "/call/read", Method: "POST", Header: func(name string) string { return headers[name] }}
	classes := map[string]Class{"read": {Index: 3}}
	headers["Accepted-At-Ms"] = strconv.FormatInt(now.UnixMilli(), 10)
	r, err := raw.Decode(classes, now)
	require.NoError(t, err)
	require.Equal(t, "north", r.Tenant)
	require.Equal(t, 5220*time.Millisecond, r.Timeout)
	delete(headers, "Project")
	delete(headers, "Max-Wait-Ms")
	r, err = raw.Decode(classes, now)
	require.NoError(t, err)
	require.Empty(t, r.Tenant)
	require.Zero(t, r.Timeout)
}
