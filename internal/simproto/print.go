package simproto

import (
	"fmt"
	"strconv"
	"strings"

	"oxbowbridge/admission"
)

// AppendSpeaking names the instance of the actions that follow.
func AppendInstance(b []byte, instance string) []byte {
	return append(append(append(b, "SPEAKING\ti="...), instance...), '\n')
}

// AppendAck ends a reply.
func AppendAck(b []byte) []byte { return append(b, "ACK\n"...) }

// AppendPanic declares that the decision code has failed.
func AppendPanic(b []byte, text string) []byte { return appendText(b, "PANIC", text) }

func appendText(b []byte, name, text string) []byte {
	clean := strings.NewReplacer("\n", " ", "\r", " ", "\t", " ").Replace(text)
	return append(append(append(append(b, name...), "\treason_text="...), clean...), '\n')
}

func appendOp(b []byte, name string, id uint32) []byte {
	b = append(append(b, name...), "\top_id="...)
	return strconv.AppendUint(b, uint64(id), 10)
}

func appendInt(b []byte, name string, v int64) []byte {
	b = append(append(append(b, '\t'), name...), '=')
	return strconv.AppendInt(b, v, 10)
}

func flag(v bool) int64 {
	if v {
		return 1
	}
	return 0
}

// AppendAction prints one action as a line.
func AppendAction(b []byte, a admission.Action) []byte {
	switch a := a.(type) {
	case admission.Run:
		b = appendOp(b, "TAKE", a.ID)
	case admission.Preempt:
		b = appendOp(b, "SUSPEND", a.ID)
	case admission.Reject:
		b = appendOp(b, "OVERLOAD_REPLY", a.ID)
		if a.DoNotRetry {
			b = appendInt(b, "terminal", 1)
		}
		if a.RetryAfter > 0 {
			b = appendInt(b, "retry_in_ns", int64(a.RetryAfter))
		}
	case admission.Fail:
		b = appendOp(b, "ABORT", a.ID)
	case admission.StartCall:
		b = appendInt(appendOp(b, "GO_CALL", a.ID), "expire_at_ns", int64(a.Deadline))
	case admission.Degrade:
		b = appendOp(b, "DEGRADE", a.ID)
	case admission.StoreKey:
		b = appendInt(appendOp(b, "RECORD_KEY", a.ID), "lifetime_ns", int64(a.TTL))
	case admission.EvictKey:
		b = appendOp(b, "EVICT", a.ID)
	case admission.ShareResult:
		b = appendOp(b, "SHARE", a.ID)
	case admission.SetHealth:
		b = appendInt(append(b, "STATUS"...), "active", flag(a.Healthy))
		b = appendInt(b, "light", flag(a.Cached))
	case admission.Advertise:
		b = strconv.AppendFloat(append(b, "PUBLISH\tamount="...), a.Value, 'f', -1, 64)
	case admission.SetIdleTimeout:
		b = appendInt(append(b, "IDLE"...), "lifetime_ns", int64(a.Timeout))
	case admission.SetTimer:
		b = appendInt(append(b, "DEFER"...), "span_ns", int64(a.After))
		b = appendInt(b, "ref", int64(a.TimerID))
	case admission.LogMessage:
		return appendText(b, "REMARK", a.Text)
	default:
		panic(fmt.Sprintf("wire: action %T can't be printed", a))
	}
	return append(b, '\n')
}
