package simproto

import "oxbowbridge/admission"

// This file maps the names of the protocol to the terms of package admission.

// Names of the messages in a batch. Each constant is named after the event or structure of the message.
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

// Names of the lines in a reply. Each constant is named after the action or structure of the line.
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

// Names of fields in messages and replies. Times are in nanoseconds, memory sizes in kB.
const (
	fieldInstance        = "i"
	fieldClockTime       = "ts_ns"
	fieldSeed            = "init_seed"
	fieldSettings        = "settings"
	fieldRequestID       = "op_id"
	fieldClass           = "category"
	fieldTenant          = "realm"
	fieldTimeLeft        = "time_left_ns"
	fieldExpectedWork    = "estimate_ns"
	fieldAge             = "waited_ns"
	fieldMemoryKB        = "held_kb"
	fieldRank            = "place"
	fieldLookupKey       = "resource"
	fieldRetry           = "repeat"
	fieldDuplicateOf     = "dup_of"
	fieldElapsed         = "took_ns"
	fieldOutcome         = "outcome"
	fieldTimerID         = "ref"
	fieldGauges          = "usage"
	fieldDoNotRetry      = "terminal"
	fieldRetryAfter      = "retry_in_ns"
	fieldCallDeadline    = "expire_at_ns"
	fieldTTL             = "lifetime_ns"
	fieldHealthy         = "active"
	fieldCached          = "light"
	fieldAdvertisedValue = "amount"
	fieldTimerDelay      = "span_ns"
	fieldText            = "reason_text"
)

var outcomeByName = map[string]admission.Outcome{
	"OK":                 admission.OutcomeOK,
	"INTERNAL":           admission.OutcomeInternal,
	"RESOURCE_EXHAUSTED": admission.OutcomeResourceExhausted,
	"DEADLINE_EXCEEDED":  admission.OutcomeDeadlineExceeded,
	"UNAVAILABLE":        admission.OutcomeUnavailable,
	"ABORTED":            admission.OutcomeAborted,
	"CANCELLED":          admission.OutcomeCanceled,
	"TOO_LATE":           admission.OutcomeNotStarted,
}
