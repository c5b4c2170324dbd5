package simproto

import (
	"testing"

	"oxbowbridge/admission"
)

func TestAppendAction(t *testing.T) {
	for want, a := range map[string]admission.Action{
		"TAKE\top_id=1":           admission.Run{ID: 1},
		"SUSPEND\top_id=1":        admission.Preempt{ID: 1},
		"OVERLOAD_REPLY\top_id=1": admission.Reject{ID: 1},
		"OVERLOAD_REPLY\top_id=1\tterminal=1\tretry_in_ns=250": admission.Reject{ID: 1, DoNotRetry: true, RetryAfter: 250},
		"ABORT\top_id=1":                     admission.Fail{ID: 1},
		"GO_CALL\top_id=1\texpire_at_ns=9":   admission.StartCall{ID: 1, Deadline: 9},
		"DEGRADE\top_id=1":                   admission.Degrade{ID: 1},
		"RECORD_KEY\top_id=1\tlifetime_ns=5": admission.StoreKey{ID: 1, TTL: 5},
		"EVICT\top_id=1":                     admission.EvictKey{ID: 1},
		"SHARE\top_id=1":                     admission.ShareResult{ID: 1},
		"STATUS\tactive=1\tlight=0":          admission.SetHealth{Healthy: true},
		"PUBLISH\tamount=0.25":               admission.Advertise{Value: 0.25},
		"IDLE\tlifetime_ns=7":                admission.SetIdleTimeout{Timeout: 7},
		"DEFER\tspan_ns=5\tref=77":           admission.SetTimer{After: 5, TimerID: 77},
		"REMARK\treason_text=a b c":          admission.LogMessage{Text: "a\tb\nc"},
	} {
		if got := string(AppendAction(nil, a)); got != want+"\n" {
			t.Errorf("%#v: %q, want %q", a, got, want)
		}
	}
}
