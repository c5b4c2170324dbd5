package storeclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"oxbowbridge/internal/maintenance"
)

func workPath(node string) string { return "/work/" + url.PathEscape(node) }

// AskWork asks for work on a machine.
func (c *Client) AskWork(ctx context.Context, j maintenance.Job) (out maintenance.Job, err error) {
	body, err := json.Marshal(j)
	if err != nil {
		return out, err
	}
	return out, c.ask(ctx, http.MethodPost, "/work", body, &out)
}

// Work is the whole order.
func (c *Client) Work(ctx context.Context) (s maintenance.Status, err error) {
	return s, c.ask(ctx, http.MethodGet, "/work", nil, &s)
}

// CancelWork takes a request back.
func (c *Client) CancelWork(ctx context.Context, node string) error {
	return c.ask(ctx, http.MethodDelete, workPath(node), nil, nil)
}

// PauseWork pauses the order, or has it go on.
func (c *Client) PauseWork(ctx context.Context, paused bool, why string) error {
	body, err := json.Marshal(maintenance.Why{Why: why})
	if err != nil {
		return err
	}
	path := "/work/resume"
	if paused {
		path = "/work/pause"
	}
	return c.ask(ctx, http.MethodPost, path, body, nil)
}

// SayWork notes what a machine says of its work; it may be said again.
func (c *Client) SayWork(ctx context.Context, node string, r maintenance.Report) error {
	body, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return c.ask(ctx, http.MethodPut, workPath(node), body, nil)
}

// Beat notes what a machine is, once, and gives its job if there is one.
func (c *Client) Beat(ctx context.Context, b maintenance.Beat) (j *maintenance.Job, err error) {
	body, err := json.Marshal(b)
	if err != nil {
		return nil, err
	}
	return j, c.ask(ctx, http.MethodPut, workPath(b.Name)+"/beat", body, &j)
}
