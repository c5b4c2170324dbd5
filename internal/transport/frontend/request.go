package frontend

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"oxbowbridge/internal/proxy/exchange"
)

// MaxBodyBytes is the maximum length of a request body.
const MaxBodyBytes = 2 << 10

// Limits of the request fields.
const (
	maxArrivalAge          = 2 * time.Minute // the caller of an older request no longer waits for it
	maxArrivalAhead        = time.Minute     // clocks on one machine differ by less
	maxIdempotencyKeyBytes = 128
	maxExpectedWorkMs      = 1e6
	maxTimeoutMs           = 1e9
	memoryLimitKB          = 2000 // exclusive, as defined by the protocol
	rankLimit              = 1    // exclusive
)

// RawRequest is a request as received, before its fields are validated.
type RawRequest struct {
	Path   string
	Method string
	Header func(name string) string // returns the value of a header, "" if it is absent
}

// Class contains the settings of a request class that a frontend needs.
type Class struct {
	Index               int           // index of the class in the settings
	NeedsIdempotencyKey bool          // requests must carry an idempotency key
	Deadline            time.Duration // from the arrival of a request at this machine
}

// IsHealthCheck reports whether the request is a health check.
func (r RawRequest) IsHealthCheck() bool { return r.Path == healthCheckPath }

// Decode validates the fields and returns the request without its body and responder. The error names
// the first invalid field.
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
		TraceID:      r.Header(HeaderTraceID),
		Class:        class.Index,
		Tenant:       r.Header(headerTenant),
		HasLookupKey: r.Header(headerLookupKey) != "",
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
		return fmt.Errorf("%s %.80q: want 1 to %d visible ASCII characters without comma", headerIdempotencyKey, req.IdempotencyKey, maxIdempotencyKeyBytes)
	}
	return nil
}

// decodeOrigin decodes the retry mark and checks the balancer's number.
func (r RawRequest) decodeOrigin(req *exchange.Request) error {
	switch retry := r.Header(headerIsRetry); retry {
	case "":
	case "1":
		req.IsRetry = true
	default:
		return fmt.Errorf("%s %q: want 1 or an empty value", headerIsRetry, retry)
	}
	if number := r.Header(headerBalancerNumber); number != "" {
		if _, err := strconv.ParseUint(number, 10, 31); err != nil {
			return fmt.Errorf("%s %q: want an integer from 0 to 2147483647", headerBalancerNumber, number)
		}
	}
	return nil
}

// decodeArrival converts the arrival time from Unix time to the monotonic clock. A time in the future
// counts as now. Times far from now are rejected, since the admission controller would take a long wait
// for an overload of this process.
func (r RawRequest) decodeArrival(req *exchange.Request, now time.Time) error {
	timestamp := r.Header(headerAcceptedAt)
	ms, err := strconv.ParseInt(timestamp, 10, 64)
	if err != nil || ms < now.Add(-maxArrivalAge).UnixMilli() || ms > now.Add(maxArrivalAhead).UnixMilli() {
		return fmt.Errorf("%s %q: want Unix milliseconds, at most %v ago and %v ahead", headerAcceptedAt, timestamp, maxArrivalAge, maxArrivalAhead)
	}
	age := max(0, now.Sub(time.UnixMilli(ms)))
	req.ArrivedAt = now.Add(-age)
	return nil
}

// numberField describes a decimal field of a request.
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
		onlyDigits := strings.Trim(text, "0123456789.") == "" // ParseFloat also accepts signs, exponents and NaN
		if err != nil || !onlyDigits || !f.inRange(value) {
			return fmt.Errorf("%s %q: not a decimal number in the valid range", f.header, text)
		}
		f.store(value)
	}
	return nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
