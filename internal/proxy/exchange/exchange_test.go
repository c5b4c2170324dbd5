package exchange

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSubmitBound: as many requests as the maximum are open at a time, and each release
// makes room for one.
func TestSubmitBound(t *testing.T) {
	x := New(2)
	first, second, third := &Request{TraceID: "1"}, &Request{TraceID: "2"}, &Request{TraceID: "3"}
	require.True(t, x.Submit(first))
	require.True(t, x.Submit(second))
	require.False(t, x.Submit(third))
	require.Equal(t, []Event{first, second}, x.Dequeue(nil), "the rejected one is not posted")
	require.False(t, x.Submit(third), "dequeued requests are open until they are released")
	x.ReleaseRequest()
	require.True(t, x.Submit(third))
	require.Equal(t, []Event{third}, x.Dequeue(nil))
}

// TestDequeue: events come in the order in which they were posted, and once; WakeupChan tells of
// them.
func TestDequeue(t *testing.T) {
	x := New(1)
	require.Empty(t, x.WakeupChan())
	request := &Request{}
	x.Submit(request)
	x.Post(Gauges{1, 2})
	x.Post(RequestCanceled{Request: request})
	require.Len(t, x.WakeupChan(), 1)
	<-x.WakeupChan()
	buf := x.Dequeue(nil)
	require.Equal(t, []Event{request, Gauges{1, 2}, RequestCanceled{Request: request}}, buf)
	require.Empty(t, x.Dequeue(buf))
	require.Empty(t, x.WakeupChan())
}

// TestStatus: what the dispatcher sets is what the frontends read.
func TestStatus(t *testing.T) {
	x := New(1)
	require.False(t, x.Healthy())
	_, ok := x.AdvertisedValue()
	require.False(t, ok)
	x.SetHealthy(true)
	x.SetAdvertisedValue(0.5)
	require.True(t, x.Healthy())
	value, ok := x.AdvertisedValue()
	require.True(t, ok)
	require.Equal(t, 0.5, value)
}

// TestNames: each kind, stage and result has a name of its own.
func TestNames(t *testing.T) {
	names := map[string]bool{}
	for k := Succeeded; k <= Failed; k++ {
		names[k.String()] = true
	}
	for s := RunEnded; s <= CallEnded; s++ {
		names[s.String()] = true
	}
	for r := ResultOK; r <= ResultConnectionLost; r++ {
		names[r.String()] = true
	}
	require.Len(t, names, 3+3+9)
	require.NotContains(t, names, "unknown")
}

// TestIsTraceID: 16 hex digits of either case, nothing else.
func TestIsTraceID(t *testing.T) {
	for id, want := range map[string]bool{"0123456789abcdef": true, "0123456789ABCDEF": true, "0123456789abcde": false,
		"0123456789abcdef0": false, "0123456789abcdeg": false, "": false} {
		require.Equal(t, want, IsTraceID(id), id)
	}
}
