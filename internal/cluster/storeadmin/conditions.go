package storeadmin

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/storeapi"
)

// conditionHeaders are the header fields that turn a PUT or DELETE into a transaction.
var conditionHeaders = []string{"If-Match", "If-None-Match", storeapi.HeaderSession, storeapi.HeaderRequestNumber, storeapi.HeaderLease}

func isConditional(r *http.Request) bool {
	return slices.ContainsFunc(conditionHeaders, func(name string) bool { return r.Header.Get(name) != "" })
}

// parseConditions parses the conditions, the session and the fencing tokens of a PUT or DELETE.
func parseConditions(r *http.Request) (request kv.Request, err error) {
	if request.If, err = parseCompares(r); err != nil {
		return request, err
	}
	if request.SessionID, err = parseNumber(r, storeapi.HeaderSession); err != nil {
		return request, err
	}
	if request.RequestNumber, err = parseNumber(r, storeapi.HeaderRequestNumber); err != nil {
		return request, err
	}
	request.Fences, err = parseFences(r)
	return request, err
}

// parseCompares parses If-Match: "REVISION" and If-None-Match: *.
func parseCompares(r *http.Request) (compares []kv.Compare, err error) {
	key := r.PathValue("key")
	if tag := r.Header.Get("If-Match"); tag != "" {
		revision, err := storeapi.ParseETag(tag)
		if err != nil {
			return nil, err
		}
		compares = append(compares, kv.Compare{Key: key, Revision: revision})
	}
	if tag := r.Header.Get("If-None-Match"); tag != "" {
		if tag != "*" {
			return nil, fmt.Errorf("%w: If-None-Match takes * only", kv.ErrInvalidRequest)
		}
		compares = append(compares, kv.Compare{Key: key})
	}
	return compares, nil
}

// parseNumber parses a header field that holds a number. It returns 0 if the field is missing.
func parseNumber(r *http.Request, name string) (uint64, error) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %q is no number", kv.ErrInvalidRequest, name, text)
	}
	return number, nil
}

// parseFences parses the fencing tokens of the leases that a write requires.
func parseFences(r *http.Request) (fences []lease.FencingToken, err error) {
	for _, text := range r.Header.Values(storeapi.HeaderLease) {
		fence, err := storeapi.ParseFencingToken(text)
		if err != nil {
			return nil, err
		}
		fences = append(fences, fence)
	}
	return fences, nil
}
