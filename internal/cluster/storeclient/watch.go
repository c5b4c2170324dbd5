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

// watchTimeout is how long a watch waits for the next byte before it goes to another node.
const watchTimeout = 3 * storeapi.WatchProgressInterval

// maxErrorBodyBytes is what is read of an answer that is no stream.
const maxErrorBodyBytes = 1 << 10

// Watch calls handle for each revision that changes keys with a prefix, in order and once, from a
// position on (0 is now). If a node is lost it continues at another one. It ends with ctx, with an
// error of handle, with a *watch.CompactedError, with an answer that a retry does not change, or
// after Retry.MaxRetries failed attempts in a row.
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
			return fmt.Errorf("no node to watch in %d attempts: %w", failures, err)
		}
		if err := c.RetryPolicy.wait(ctx, failures); err != nil {
			return err
		}
	}
}

// finalError ends a watch; after any other error it continues at another node.
type finalError struct{ error }

// watcher is a watch and its position.
type watcher struct {
	client       *Client
	prefix       string
	nextRevision uint64 // the revision to continue from
	handle       func(watch.Revision) error
}

// watchNode watches at one node, and reports whether any event was received.
func (w *watcher) watchNode(ctx context.Context, node string) (received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(watchTimeout, cancel)
	defer timeout.Stop()
	req, err := w.newRequest(ctx, node)
	if err != nil {
		return false, &finalError{err}
	}
	streamClient := &http.Client{Transport: w.client.HTTPClient.Transport} // without a timeout for the whole answer
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

// handleEvent handles one event and moves the position on.
func (w *watcher) handleEvent(e event) error {
	if e.eventType == storeapi.EventCompacted {
		return watchError(http.StatusGone, e.data)
	}
	id, err := strconv.ParseUint(e.id, 10, 63)
	if err != nil {
		return fmt.Errorf("event %q: id %q is no revision", e.eventType, e.id)
	}
	if e.eventType == storeapi.EventChange && id >= w.nextRevision {
		var revision watch.Revision
		if err := json.Unmarshal(e.data, &revision); err != nil || revision.Number != id {
			return fmt.Errorf("event %d can't be read: %w", id, err)
		}
		if err := w.handle(revision); err != nil {
			return &finalError{err}
		}
	}
	w.nextRevision = max(w.nextRevision, id+1)
	return nil
}

// watchError returns the error of an answer that is no stream. Only 503 is worth another attempt.
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

// timeoutReader starts a timer anew whenever something is read.
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
