package exchange

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSubmitBound checks that Submit rejects requests above the maximum and that each
// ReleaseRequest frees one slot.
func TestSubmitBound(t *testing.T) {
	x := New(2)
	first, second, third := &Request{TraceID: "1"}, &Request{TraceID: "2"}, &Request{TraceID: "3"}
	require.True(t, x.Submit(first))
	require.True(t, x.Submit(second))
	require.False(t, x.Submit(third))
	require.Equal(t, []Event{first, second}, x.Dequeue(nil), "a rejected request is not queued")
	require.False(t, x.Submit(third), "a dequeued request stays open until it is released")
	x.ReleaseRequest()
	require.True(t, x.Submit(third))
	require.Equal(t, []Event{third}, x.Dequeue(nil))
}

// TestDequeue checks that events are delivered once and in order, and that WakeupChan signals them.
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

// TestStatus checks the health status and the advertised value before and after they are set.
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

// TestNames checks that each response kind, stage and result has a unique name.
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

// TestIsTraceID checks that exactly 16 hex digits, in upper or lower case, are accepted.
func TestIsTraceID(t *testing.T) {
	for id, want := range map[string]bool{"0123456789abcdef": true, "0123456789ABCDEF": true, "0123456789abcde": false,
		"0123456789abcdef0": false, "0123456789abcdeg": false, "": false} {
		require.Equal(t, want, IsTraceID(id), id)
	}
}
