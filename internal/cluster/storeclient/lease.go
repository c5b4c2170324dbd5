package storeclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/storeapi"
)

func leasePath(name string) string { return "/lease/" + (&url.URL{Path: name}).EscapedPath() }

// AcquireLease requests a lease. If another process holds it, the error wraps lease.ErrHeld, and the
// status contains the holder.
func (c *Client) AcquireLease(ctx context.Context, name string, request storeapi.AcquireRequest) (status storeapi.LeaseStatus, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return status, err
	}
	waitingClient := c.withAttemptTimeout(c.HTTPClient.Timeout + time.Duration(request.WaitMS)*time.Millisecond)
	res, err := waitingClient.sendWithRetry(ctx, http.MethodPost, leasePath(name), body)
	if err != nil {
		return status, err
	}
	if res.statusCode != http.StatusOK && res.statusCode != http.StatusConflict {
		return status, res.statusError()
	}
	if err := json.Unmarshal(res.body, &status); err != nil {
		return status, decodeError(err)
	}
	if res.statusCode == http.StatusConflict {
		return status, fmt.Errorf("%w by %s", lease.ErrHeld, status.Holder)
	}
	return status, nil
}

// RenewLeases renews up to storeapi.MaxRenewals leases. It returns the names of the leases that are no
// longer held under their tokens.
func (c *Client) RenewLeases(ctx context.Context, tokens []lease.FencingToken) (lost []string, err error) {
	var response storeapi.RenewResponse
	err = c.callJSON(ctx, http.MethodPut, "/lease", storeapi.RenewRequest{Leases: tokens}, &response)
	return response.Lost, err
}

// ReleaseLease releases a lease. If to is not empty, the lease is handed over to the waiter of that
// name. If the lease is no longer held under the token, the error is a *storeapi.StatusError with
// status code 410.
func (c *Client) ReleaseLease(ctx context.Context, name string, token uint64, to string) error {
	query := url.Values{"token": {strconv.FormatUint(token, 10)}}
	if to != "" {
		query.Set("to", to)
	}
	return c.endLease(ctx, name, query)
}

// RevokeLease revokes a lease: it ends when its TTL expires, even if its holder tries to renew it.
func (c *Client) RevokeLease(ctx context.Context, name string) error {
	return c.endLease(ctx, name, url.Values{"revoke": {"1"}})
}

func (c *Client) endLease(ctx context.Context, name string, query url.Values) error {
	return c.call(ctx, http.MethodDelete, leasePath(name)+"?"+query.Encode(), nil, nil)
}

// ListLeases returns all leases that are held.
func (c *Client) ListLeases(ctx context.Context) (leases []storeapi.LeaseStatus, err error) {
	err = c.call(ctx, http.MethodGet, "/lease", nil, &leases)
	return leases, err
}

// GetLease returns the status of one lease. If the lease is not held, the error is a
// *storeapi.StatusError with status code 404.
func (c *Client) GetLease(ctx context.Context, name string) (status storeapi.LeaseStatus, err error) {
	err = c.call(ctx, http.MethodGet, leasePath(name), nil, &status)
	return status, err
}
