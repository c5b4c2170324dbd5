package simproto

import "oxbowbridge/admission"

// The words of the protocol and the terms that they stand for.

// Messages of a batch, and the event that each carries.
const (
	messageBatchStart    = "TICK"
	messageBatchEnd      = "EOF_BATCH"
	messageInstance      = "ABOUT"
	messageCreate        = "CREATE"
	messageDetach        = "DETACH"
	messageArrival       = "ACCEPT"
	messageCompleted     = "COMPLETED"
	messageCanceled      = "LAPSED"
	messageCallNeeded    = "AWAITING"
	messageCallCompleted = "DEP_REPLY"
	messageDrain         = "SIGTERM"
	messageTimerFired    = "DUE"
)

// Lines of a reply, and the action that each carries.
const (
	replyInstance       = "SPEAKING"
	replyEnd            = "ACK"
	replyPanic          = "PANIC"
	replyRun            = "TAKE"
	replyPreempt        = "SUSPEND"
	replyReject         = "OVERLOAD_REPLY"
	replyFail           = "ABORT"
	replyStartCall      = "GO_CALL"
	replyDegrade        = "DEGRADE"
	replyStoreKey       = "RECORD_KEY"
	replyEvictKey       = "EVICT"
	replyShareResult    = "SHARE"
	replySetHealth      = "STATUS"
	replyAdvertise      = "PUBLISH"
	replySetIdleTimeout = "IDLE"
	replySetTimer       = "DEFER"
	replyLogMessage     = "REMARK"
)

// Fields of messages and replies. Times are in nanoseconds, memory is in kB.
const (
	fieldInstance     = "i"
	fieldClockTime    = "ts_ns"
	fieldSeed         = "init_seed"
	fieldSettings     = "settings"
	fieldRequestID    = "op_id"
	fieldClass        = "category"
	fieldTenant       = "realm"
	fieldTimeLeft     = "time_left_ns"
	fieldExpectedWork = "estimate_ns"
	fieldAge          = "waited_ns"
	fieldMemoryKB     = "held_kb"
	fieldRank         = "place"
	fieldKey          = "resource"
	fieldRetry        = "repeat"
	fieldDuplicateOf  = "dup_of"
	fieldElapsed      = "took_ns"
	fieldOutcome      = "outcome"
	fieldTimerID      = "ref"
	fieldGauges       = "usage"
	fieldDoNotRetry   = "terminal"
	fieldRetryAfter   = "retry_in_ns"
	fieldCallDeadline = "expire_at_ns"
	fieldTTL          = "lifetime_ns"
	fieldHealthy      = "active"
	fieldCached       = "light"
	fieldAdvert       = "amount"
	fieldTimerSpan    = "span_ns"
	fieldText         = "reason_text"
)

var outcomes = map[string]admission.Outcome{
	"OK":                 admission.OutcomeOK,
	"INTERNAL":           admission.OutcomeInternal,
	"RESOURCE_EXHAUSTED": admission.OutcomeResourceExhausted,
	"DEADLINE_EXCEEDED":  admission.OutcomeDeadlineExceeded,
	"UNAVAILABLE":        admission.OutcomeUnavailable,
	"ABORTED":            admission.OutcomeAborted,
	"CANCELLED":          admission.OutcomeCanceled,
	"TOO_LATE":           admission.OutcomeNotStarted,
}
