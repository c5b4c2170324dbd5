package storeclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/cluster/watch"
)

// watchTimeout is how long a watch waits for data before it switches to another node.
const watchTimeout = 3 * storeapi.WatchProgressInterval

// maxErrorBodyBytes is how much is read of the body of an error response.
const maxErrorBodyBytes = 1 << 10

// Watch calls handle once for each revision that changes keys with a prefix, in order. It starts at the
// revision from, or after the current revision if from is 0. If the connection to a node fails, Watch
// continues at another node. It returns when ctx ends; with the error of handle; with a
// *watch.CompactedError; on an error response other than 503; or when more than RetryPolicy.MaxRetries
// attempts in a row have failed.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64, handle func(watch.Revision) error) error {
	if len(c.Nodes) == 0 {
		return errNoNode
	}
	w := &watcher{client: c, prefix: prefix, nextRevision: from, handle: handle}
	failures := 0
	for nodeIndex := rand.IntN(len(c.Nodes)); ; nodeIndex++ {
		received, err := w.watchNode(ctx, c.Nodes[nodeIndex%len(c.Nodes)])
		var final *finalError
		switch {
		case errors.As(err, &final):
			return final.error
		case ctx.Err() != nil:
			return ctx.Err()
		case received:
			failures = 0
		}
		failures++
		if failures > c.RetryPolicy.MaxRetries {
			return fmt.Errorf("watch failed %d times in a row: %w", failures, err)
		}
		if err := c.RetryPolicy.wait(ctx, failures); err != nil {
			return err
		}
	}
}

// finalError wraps an error that ends a watch. After any other error the watch continues at another
// node.
type finalError struct{ error }

// watcher is the state of one call of Watch.
type watcher struct {
	client       *Client
	prefix       string
	nextRevision uint64 // the revision to continue from
	handle       func(watch.Revision) error
}

// watchNode watches at one node until the stream fails, and reports whether it received an event.
func (w *watcher) watchNode(ctx context.Context, node string) (received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(watchTimeout, cancel)
	defer timeout.Stop()
	req, err := w.newRequest(ctx, node)
	if err != nil {
		return false, &finalError{err}
	}
	streamClient := &http.Client{Transport: w.client.HTTPClient.Transport} // no timeout, as the response has no end
	res, err := streamClient.Do(req)
	if err != nil {
		return false, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBodyBytes))
		return false, watchError(res.StatusCode, body)
	}
	err = readEvents(&timeoutReader{res.Body, timeout}, func(e event) error {
		received = true
		return w.handleEvent(e)
	})
	return received, err
}

func (w *watcher) newRequest(ctx context.Context, node string) (*http.Request, error) {
	query := url.Values{"prefix": {w.prefix}}
	if w.nextRevision > 0 {
		query.Set("from", strconv.FormatUint(w.nextRevision, 10))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/watch?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	w.client.cluster.setHeader(req)
	return req, nil
}

// handleEvent handles one event and advances the position of the watch.
func (w *watcher) handleEvent(e event) error {
	if e.eventType == storeapi.EventCompacted {
		return watchError(http.StatusGone, e.data)
	}
	id, err := strconv.ParseUint(e.id, 10, 63)
	if err != nil {
		return fmt.Errorf("event %q: invalid id %q, want a revision", e.eventType, e.id)
	}
	if e.eventType == storeapi.EventChange && id >= w.nextRevision {
		var revision watch.Revision
		if err := json.Unmarshal(e.data, &revision); err != nil || revision.Number != id {
			return fmt.Errorf("decode event with id %d: %w", id, err)
		}
		if err := w.handle(revision); err != nil {
			return &finalError{err}
		}
	}
	w.nextRevision = max(w.nextRevision, id+1)
	return nil
}

// watchError converts an error response to an error. All errors but that of status 503 are final.
func watchError(statusCode int, body []byte) error {
	var compacted storeapi.CompactedResponse
	switch {
	case statusCode == http.StatusGone && json.Unmarshal(body, &compacted) == nil && compacted.Error == storeapi.CompactedCode:
		return &finalError{&watch.CompactedError{OldestRevision: compacted.OldestRevision}}
	case statusCode == http.StatusServiceUnavailable:
		return storeapi.NewStatusError(statusCode, body)
	}
	return &finalError{storeapi.NewStatusError(statusCode, body)}
}

// timeoutReader resets a timer whenever it reads data.
type timeoutReader struct {
	io.Reader
	timeout *time.Timer
}

func (t *timeoutReader) Read(b []byte) (int, error) {
	n, err := t.Reader.Read(b)
	if n > 0 {
		t.timeout.Reset(watchTimeout)
	}
	return n, err
}
