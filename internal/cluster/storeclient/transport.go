package storeclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"

	"oxbowbridge/internal/cluster/backup"
	"oxbowbridge/internal/cluster/storeapi"
)

// maxResponseBytes bounds the body of a response. The largest one is a backup.
const maxResponseBytes = backup.MaxBytes + 1<<20

// response is a response whose body has been read completely.
type response struct {
	statusCode int
	header     http.Header
	body       []byte
}

// statusError returns the response as a *storeapi.StatusError.
func (r *response) statusError() error { return storeapi.NewStatusError(r.statusCode, r.body) }

// sendWithRetry sends a request to one node after the other, starting at a random node, until a node
// responds with a status other than 503 or the retries are used up. The request must be idempotent: a
// read, or a write in a session.
func (c *Client) sendWithRetry(ctx context.Context, method, path string, body []byte) (*response, error) {
	if len(c.Nodes) == 0 {
		return nil, errNoNode
	}
	var lastErr error
	first := rand.IntN(len(c.Nodes))
	for attempt := range c.RetryPolicy.MaxRetries + 1 {
		if attempt > 0 {
			if err := c.RetryPolicy.wait(ctx, attempt); err != nil {
				return nil, errors.Join(err, lastErr)
			}
		}
		node := c.Nodes[(first+attempt)%len(c.Nodes)]
		req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		res, err := c.sendOnce(req)
		if err == nil {
			return res, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("no node answered in %d attempts: %w", c.RetryPolicy.MaxRetries+1, lastErr)
}

// sendOnce sends a request once. A response with status 503 is returned as an error.
func (c *Client) sendOnce(req *http.Request) (*response, error) {
	c.cluster.setHeader(req)
	res, err := c.HTTPClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	c.cluster.pin(res.Header.Get(storeapi.HeaderCluster))
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	result := &response{statusCode: res.StatusCode, header: res.Header, body: body}
	if res.StatusCode == http.StatusServiceUnavailable {
		return nil, result.statusError()
	}
	return result, nil
}

// call sends a request with sendWithRetry and decodes the response into out, unless out is nil. For a
// status of 300 or above it returns a *storeapi.StatusError.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	res, err := c.sendWithRetry(ctx, method, path, body)
	if err != nil {
		return err
	}
	if res.statusCode >= http.StatusMultipleChoices {
		return res.statusError()
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(res.body, out); err != nil {
		return decodeError(err)
	}
	return nil
}

// callJSON is like call, with in encoded as JSON in the request body.
func (c *Client) callJSON(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return c.call(ctx, method, path, body, out)
}
