package frontend

import (
	"net/http"
	"strconv"
	"time"

	"oxbowbridge/internal/proxy/exchange"
)

// HTTPResponse is a response in the terms of HTTP, which all protocols of the frontends share.
type HTTPResponse struct {
	Status  int // HTTP status
	Headers []Header
	Body    []byte
}

// NewHTTPResponse returns the response for an answer.
func NewHTTPResponse(answer exchange.Response) HTTPResponse {
	switch answer.Kind {
	case exchange.Succeeded:
		return HTTPResponse{Status: http.StatusOK, Body: answer.Body}
	case exchange.Failed:
		return HTTPResponse{Status: http.StatusInternalServerError}
	}
	response := HTTPResponse{Status: http.StatusServiceUnavailable}
	if answer.RetryAfter > 0 {
		roundedUp := (answer.RetryAfter + time.Millisecond - 1) / time.Millisecond
		response.Headers = append(response.Headers, Header{headerRetryAfter, strconv.FormatInt(int64(roundedUp), 10)})
	}
	if answer.NoRetryElsewhere {
		response.Headers = append(response.Headers, Header{headerNoOtherServer, headerNoOtherServerSet})
	}
	return response
}

// CommonHeaders returns the headers of every response: the advertised value, where the
// settings have one.
func CommonHeaders(x *exchange.Exchange) []Header {
	value, ok := x.AdvertisedValue()
	if !ok {
		return nil
	}
	return []Header{{headerFeedback, strconv.FormatFloat(value, 'f', -1, 64)}}
}

// HealthResponse returns the response to a health check.
func HealthResponse(healthy bool) HTTPResponse {
	if healthy {
		return HTTPResponse{Status: http.StatusOK}
	}
	return HTTPResponse{Status: http.StatusServiceUnavailable}
}
