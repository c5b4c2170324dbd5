package storeclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/storeapi"
)

// Get reads the value and the revision of a key. query is "" for a linearizable read, or "?local=1" or
// "?stale=DURATION" for a read with weaker consistency.
func (c *Client) Get(ctx context.Context, key, query string) (value json.RawMessage, revision uint64, err error) {
	res, err := c.sendWithRetry(ctx, http.MethodGet, "/store/"+key+query, nil)
	switch {
	case err != nil:
		return nil, 0, err
	case res.statusCode == http.StatusNotFound:
		return nil, 0, fmt.Errorf("%w: %s", ErrKeyNotFound, key)
	case res.statusCode != http.StatusOK:
		return nil, 0, res.statusError()
	}
	revision, err = storeapi.ParseETag(res.header.Get("ETag"))
	return bytes.TrimSpace(res.body), revision, err
}

// List reads all keys and the revision of the store that they reflect. A Watch from the next revision
// on misses no change. The revision is 0 if the node does not send storeapi.HeaderStoreRevision.
func (c *Client) List(ctx context.Context, query string) (values map[string]json.RawMessage, revision uint64, err error) {
	res, err := c.sendWithRetry(ctx, http.MethodGet, "/store"+query, nil)
	switch {
	case err != nil:
		return nil, 0, err
	case res.statusCode != http.StatusOK:
		return nil, 0, res.statusError()
	}
	if err := json.Unmarshal(res.body, &values); err != nil {
		return nil, 0, decodeError(err)
	}
	revision, _ = strconv.ParseUint(res.header.Get(storeapi.HeaderStoreRevision), 10, 64)
	return values, revision, nil
}

// Txn executes a transaction. It takes effect only once, even if the request is retried.
func (c *Client) Txn(ctx context.Context, request kv.Request) (kv.Response, error) {
	if err := c.openSession(ctx); err != nil {
		return kv.Response{}, err
	}
	c.lastRequestNumber++
	request.SessionID = c.SessionID
	request.RequestNumber = c.lastRequestNumber
	var response kv.Response
	err := c.callJSON(ctx, http.MethodPost, "/txn", request, &response)
	return response, err
}

// openSession opens the client's session, unless it is already open. If the response is lost, a retry
// opens another session, and the first one expires on the nodes.
func (c *Client) openSession(ctx context.Context) error {
	if c.SessionID != 0 {
		return nil
	}
	var opened kv.Response
	if err := c.call(ctx, http.MethodPost, "/session", nil, &opened); err != nil {
		return fmt.Errorf("open session: %w", err)
	}
	c.SessionID = opened.SessionID
	return nil
}

// Put writes a key. If ifRevision is not nil, it does so only if the key has that revision.
func (c *Client) Put(ctx context.Context, key string, value json.RawMessage, ifRevision *uint64) (kv.Response, error) {
	return c.write(ctx, kv.Put(key, value), ifRevision)
}

// Delete deletes a key. If ifRevision is not nil, it does so only if the key has that revision.
func (c *Client) Delete(ctx context.Context, key string, ifRevision *uint64) (kv.Response, error) {
	return c.write(ctx, kv.Delete(key), ifRevision)
}

func (c *Client) write(ctx context.Context, op kv.Op, ifRevision *uint64) (kv.Response, error) {
	request := kv.Request{Then: []kv.Op{op}, Else: []kv.Op{kv.Get(op.Key)}}
	if ifRevision != nil {
		request.If = []kv.Compare{{Key: op.Key, Revision: *ifRevision}}
	}
	response, err := c.Txn(ctx, request)
	if err == nil && !response.Succeeded {
		currentRevision := strconv.FormatUint(response.Results[0].Revision, 10)
		err = &storeapi.StatusError{StatusCode: http.StatusPreconditionFailed, Text: "the key has revision " + currentRevision}
	}
	return response, err
}
