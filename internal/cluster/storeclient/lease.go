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

// AcquireLease asks for a lease. What comes with lease.ErrHeld says who has it.
func (c *Client) AcquireLease(ctx context.Context, name string, q storeapi.AcquireRequest) (l storeapi.LeaseStatus, err error) {
	body, err := json.Marshal(q)
	if err != nil {
		return l, err
	}
	slow := *c
	slow.HTTP = &http.Client{Transport: c.HTTP.Transport, Timeout: c.HTTP.Timeout + time.Duration(q.WaitMS)*time.Millisecond}
	res, text, err := slow.do(ctx, http.MethodPost, leasePath(name), body)
	if err != nil {
		return l, err
	}
	if res.StatusCode != http.StatusOK && res.StatusCode != http.StatusConflict {
		return l, storeapi.NewStatusError(res.StatusCode, text)
	}
	if err := json.Unmarshal(text, &l); err != nil {
		return l, fmt.Errorf("answer can't be read: %w", err)
	}
	if res.StatusCode == http.StatusConflict {
		return l, fmt.Errorf("%w by %s", lease.ErrHeld, l.Holder)
	}
	return l, nil
}

// RenewLeases keeps leases alive, and names those that are lost.
func (c *Client) RenewLeases(ctx context.Context, list []lease.FencingToken) (gone []string, err error) {
	body, err := json.Marshal(storeapi.RenewRequest{Leases: list})
	if err != nil {
		return nil, err
	}
	var g storeapi.RenewResponse
	err = c.ask(ctx, http.MethodPut, "/lease", body, &g)
	return g.Lost, err
}

// ReleaseLease gives a lease back, to one that waits for it unless to is "". One that is not
// held under the token any more is given back already.
func (c *Client) ReleaseLease(ctx context.Context, name string, token uint64, to string) error {
	q := url.Values{"token": {strconv.FormatUint(token, 10)}}
	if to != "" {
		q.Set("to", to)
	}
	return c.end(ctx, name, q)
}

// RevokeLease has a lease end when its time is over, whatever its holder does.
func (c *Client) RevokeLease(ctx context.Context, name string) error {
	return c.end(ctx, name, url.Values{"revoke": {"1"}})
}

func (c *Client) end(ctx context.Context, name string, q url.Values) error {
	return c.ask(ctx, http.MethodDelete, leasePath(name)+"?"+q.Encode(), nil, nil)
}

// ListLeases are all that are held.
func (c *Client) ListLeases(ctx context.Context) (list []storeapi.LeaseStatus, err error) {
	return list, c.ask(ctx, http.MethodGet, "/lease", nil, &list)
}

// GetLease is one of them.
func (c *Client) GetLease(ctx context.Context, name string) (l storeapi.LeaseStatus, err error) {
	return l, c.ask(ctx, http.MethodGet, leasePath(name), nil, &l)
}
