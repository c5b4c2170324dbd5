package simproto

import (
	"fmt"
	"strconv"
	"strings"

	"oxbowbridge/admission"
)

// AppendInstance appends a line with the name of the instance to which the following actions belong.
func AppendInstance(b []byte, instance string) []byte {
	b = append(b, replyInstance+"\t"+fieldInstance+"="...)
	b = append(b, instance...)
	return append(b, '\n')
}

// AppendAck appends the line that ends a reply.
func AppendAck(b []byte) []byte { return append(b, replyEnd+"\n"...) }

// AppendPanic appends a line that reports a panic of the instance's controller.
func AppendPanic(b []byte, text string) []byte { return appendText(b, replyPanic, text) }

// AppendAction appends one action as a line.
func AppendAction(b []byte, a admission.Action) []byte {
	switch a := a.(type) {
	case admission.Run:
		b = appendRequest(b, replyRun, a.ID)
	case admission.Preempt:
		b = appendRequest(b, replyPreempt, a.ID)
	case admission.Reject:
		b = appendReject(b, a)
	case admission.Fail:
		b = appendRequest(b, replyFail, a.ID)
	case admission.StartCall:
		b = appendRequest(b, replyStartCall, a.ID)
		b = appendInt(b, fieldCallDeadline, int64(a.Deadline))
	case admission.Degrade:
		b = appendRequest(b, replyDegrade, a.ID)
	case admission.StoreKey:
		b = appendRequest(b, replyStoreKey, a.ID)
		b = appendInt(b, fieldTTL, int64(a.TTL))
	case admission.EvictKey:
		b = appendRequest(b, replyEvictKey, a.ID)
	case admission.ShareResult:
		b = appendRequest(b, replyShareResult, a.ID)
	case admission.SetHealth:
		b = append(b, replySetHealth...)
		b = appendInt(b, fieldHealthy, boolToInt(a.Healthy))
		b = appendInt(b, fieldCached, boolToInt(a.Cached))
	case admission.Advertise:
		b = append(b, replyAdvertise+"\t"+fieldAdvertisedValue+"="...)
		b = strconv.AppendFloat(b, a.Value, 'f', -1, 64)
	case admission.SetIdleTimeout:
		b = append(b, replySetIdleTimeout...)
		b = appendInt(b, fieldTTL, int64(a.Timeout))
	case admission.SetTimer:
		b = append(b, replySetTimer...)
		b = appendInt(b, fieldTimerDelay, int64(a.After))
		b = appendInt(b, fieldTimerID, int64(a.TimerID))
	case admission.LogMessage:
		return appendText(b, replyLogMessage, a.Text)
	default:
		panic(fmt.Sprintf("simproto: unsupported action type %T", a))
	}
	return append(b, '\n')
}

// appendReject appends a rejection without its line end. Fields that are false or 0 are omitted.
func appendReject(b []byte, a admission.Reject) []byte {
	b = appendRequest(b, replyReject, a.ID)
	if a.DoNotRetry {
		b = appendInt(b, fieldDoNotRetry, 1)
	}
	if a.RetryAfter > 0 {
		b = appendInt(b, fieldRetryAfter, int64(a.RetryAfter))
	}
	return b
}

// appendRequest appends the start of a line: the action name and the request id.
func appendRequest(b []byte, name string, id uint32) []byte {
	b = append(b, name...)
	return appendInt(b, fieldRequestID, int64(id))
}

func appendInt(b []byte, field string, value int64) []byte {
	b = append(b, '\t')
	b = append(b, field...)
	b = append(b, '=')
	return strconv.AppendInt(b, value, 10)
}

// singleLine replaces line breaks and tabs, which can't be part of a field value, by spaces.
var singleLine = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

func appendText(b []byte, name, text string) []byte {
	b = append(b, name+"\t"+fieldText+"="...)
	b = append(b, singleLine.Replace(text)...)
	return append(b, '\n')
}

func boolToInt(v bool) int64 {
	if v {
		return 1
	}
	return 0
}
