package frontend

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"oxbowbridge/internal/proxy/exchange"
)

// MaxBodyBytes is the longest body of a request.
const MaxBodyBytes = 2 << 10

// Ranges of a request's fields.
const (
	maxArrivalAge          = 2 * time.Minute // a request that arrived earlier is not waited for
	maxArrivalAhead        = time.Minute     // clocks of one machine differ by less
	maxIdempotencyKeyBytes = 128
	maxExpectedWorkMs      = 1e6
	maxTimeoutMs           = 1e9
	memoryLimitKB          = 2000 // exclusive, as the protocol has it
	rankLimit              = 1    // exclusive
)

// RawRequest is a request as a protocol carried it, before its fields are checked.
type RawRequest struct {
	Path   string
	Method string
	Header func(name string) string // value of a field, "" if it is absent
}

// Class is what a frontend knows of a class of requests.
type Class struct {
	Index               int  // position in the settings
	NeedsIdempotencyKey bool // its requests carry an idempotency key
}

// IsHealthCheck reports whether the request is a health check.
func (r RawRequest) IsHealthCheck() bool { return r.Path == healthCheckPath }

// Decode checks the fields and returns the request, without its body and responder. The error
// names the first field at fault.
func (r RawRequest) Decode(classes map[string]Class, now time.Time) (*exchange.Request, error) {
	name, hasPrefix := strings.CutPrefix(r.Path, CallPathPrefix)
	class, known := classes[name]
	switch {
	case !hasPrefix || !known:
		return nil, fmt.Errorf("path %q: no such class", r.Path)
	case r.Method != "POST":
		return nil, fmt.Errorf("method %q: want POST", r.Method)
	}
	req := &exchange.Request{
		TraceID:    r.Header(HeaderTraceID),
		Class:      class.Index,
		Tenant:     r.Header(headerTenant),
		HasSubject: r.Header(headerSubject) != "",
	}
	if !exchange.IsTraceID(req.TraceID) {
		return nil, fmt.Errorf("%s %q: want 16 hex digits", HeaderTraceID, req.TraceID)
	}
	if class.NeedsIdempotencyKey {
		if err := r.decodeIdempotencyKey(req); err != nil {
			return nil, err
		}
	}
	if err := r.decodeOrigin(req); err != nil {
		return nil, err
	}
	if err := r.decodeArrival(req, now); err != nil {
		return nil, err
	}
	if err := r.decodeNumbers(req); err != nil {
		return nil, err
	}
	return req, nil
}

func (r RawRequest) decodeIdempotencyKey(req *exchange.Request) error {
	req.IdempotencyKey = r.Header(headerIdempotencyKey)
	isInvalid := func(c rune) bool { return c <= ' ' || c > '~' || c == ',' }
	if req.IdempotencyKey == "" || len(req.IdempotencyKey) > maxIdempotencyKeyBytes || strings.ContainsFunc(req.IdempotencyKey, isInvalid) {
		return fmt.Errorf("%s %.80q: want 1 to %d plain characters", headerIdempotencyKey, req.IdempotencyKey, maxIdempotencyKeyBytes)
	}
	return nil
}

// decodeOrigin reads the fields on the attempt and on the balancer.
func (r RawRequest) decodeOrigin(req *exchange.Request) error {
	switch retry := r.Header(headerIsRetry); retry {
	case "":
	case "1":
		req.IsRetry = true
	default:
		return fmt.Errorf("%s %q: want 1 or nothing", headerIsRetry, retry)
	}
	if number := r.Header(headerBalancerNumber); number != "" {
		if _, err := strconv.ParseUint(number, 10, 31); err != nil {
			return fmt.Errorf("%s %q: want a number", headerBalancerNumber, number)
		}
	}
	return nil
}

// decodeArrival converts the time of arrival from Unix time to the monotonic clock; an arrival in
// the future counts as now. Times far from now are rejected: the admission controller would mistake
// the long wait for an overload of this process.
func (r RawRequest) decodeArrival(req *exchange.Request, now time.Time) error {
	stamp := r.Header(headerAcceptedAt)
	ms, err := strconv.ParseInt(stamp, 10, 64)
	if err != nil || ms < now.Add(-maxArrivalAge).UnixMilli() || ms > now.Add(maxArrivalAhead).UnixMilli() {
		return fmt.Errorf("%s %q: want Unix milliseconds, at most %v ago and %v ahead", headerAcceptedAt, stamp, maxArrivalAge, maxArrivalAhead)
	}
	waited := max(0, now.Sub(time.UnixMilli(ms)))
	req.Arrived = now.Add(-waited)
	return nil
}

// numberField is a decimal field of a request.
type numberField struct {
	header   string
	required bool
	inRange  func(float64) bool
	store    func(float64)
}

func (r RawRequest) decodeNumbers(req *exchange.Request) error {
	fields := []numberField{
		{headerExpectedWork, false, func(ms float64) bool { return ms <= maxExpectedWorkMs }, func(ms float64) { req.ExpectedWork = milliseconds(ms) }},
		{headerTimeout, false, func(ms float64) bool { return ms <= maxTimeoutMs }, func(ms float64) { req.Timeout = milliseconds(ms) }},
		{headerMemory, true, func(kb float64) bool { return kb > 0 && kb < memoryLimitKB }, func(kb float64) { req.ReservedKB = kb }},
		{headerRank, false, func(rank float64) bool { return rank < rankLimit }, func(rank float64) { req.Rank = rank }},
	}
	for _, f := range fields {
		text := r.Header(f.header)
		if text == "" && !f.required {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		onlyDigits := strings.Trim(text, "0123456789.") == "" // ParseFloat also takes signs, exponents and NaN
		if err != nil || !onlyDigits || !f.inRange(value) {
			return fmt.Errorf("%s %q: not a number in its range", f.header, text)
		}
		f.store(value)
	}
	return nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
