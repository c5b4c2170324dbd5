package storeadmin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"oxbowbridge/internal/cluster/kv"
)

// handler serves a request, or returns the error to respond with.
type handler func(w http.ResponseWriter, r *http.Request) error

func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := h(w, r); err != nil {
		writeError(w, err)
	}
}

// decodeJSON decodes a request's body of at most maxBytes into out, and rejects unknown fields. It returns the
// body, so that the request can be forwarded. Its error wraps kv.ErrInvalidRequest.
func decodeJSON(w http.ResponseWriter, r *http.Request, maxBytes int64, out any) (body []byte, err error) {
	body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err == nil {
		decoder := json.NewDecoder(bytes.NewReader(body))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(out)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", kv.ErrInvalidRequest, err)
	}
	return body, nil
}

// writeNoContent responds with 204 if err is nil, and returns err otherwise.
func writeNoContent(w http.ResponseWriter, err error) error {
	if err == nil {
		w.WriteHeader(http.StatusNoContent)
	}
	return err
}
