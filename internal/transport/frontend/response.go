package frontend

import (
	"net/http"
	"strconv"
	"time"

	"oxbowbridge/internal/proxy/exchange"
)

// HTTPResponse is a response as an HTTP status, headers and a body, which all frontend protocols use.
type HTTPResponse struct {
	Status  int // HTTP status
	Headers []Header
	Body    []byte
}

// NewHTTPResponse converts a response of the exchange to an HTTPResponse.
func NewHTTPResponse(response exchange.Response) HTTPResponse {
	switch response.Kind {
	case exchange.Succeeded:
		return HTTPResponse{Status: http.StatusOK, Body: response.Body}
	case exchange.Failed:
		return HTTPResponse{Status: http.StatusInternalServerError}
	}
	httpResponse := HTTPResponse{Status: http.StatusServiceUnavailable}
	if response.RetryAfter > 0 {
		roundedUp := (response.RetryAfter + time.Millisecond - 1) / time.Millisecond
		httpResponse.Headers = append(httpResponse.Headers, Header{headerRetryAfter, strconv.FormatInt(int64(roundedUp), 10)})
	}
	if response.NoRetryElsewhere {
		httpResponse.Headers = append(httpResponse.Headers, Header{headerNoOtherServer, headerNoOtherServerSet})
	}
	return httpResponse
}

// CommonHeaders returns the headers that every response has: the advertised value, if the settings
// configure one.
func CommonHeaders(x *exchange.Exchange) []Header {
	value, ok := x.AdvertisedValue()
	if !ok {
		return nil
	}
	return []Header{{headerAdvertisedValue, strconv.FormatFloat(value, 'f', -1, 64)}}
}

// HealthResponse returns the response to a health check.
func HealthResponse(healthy bool) HTTPResponse {
	if healthy {
		return HTTPResponse{Status: http.StatusOK}
	}
	return HTTPResponse{Status: http.StatusServiceUnavailable}
}
