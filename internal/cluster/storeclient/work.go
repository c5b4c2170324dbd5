package storeclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"oxbowbridge/internal/maintenance"
)

func workPath(node string) string { return "/work/" + url.PathEscape(node) }

// SubmitOrder asks for work on a machine.
func (c *Client) SubmitOrder(ctx context.Context, j maintenance.Order) (out maintenance.Order, err error) {
	body, err := json.Marshal(j)
	if err != nil {
		return out, err
	}
	return out, c.ask(ctx, http.MethodPost, "/work", body, &out)
}

// MaintenanceStatus is the whole order.
func (c *Client) MaintenanceStatus(ctx context.Context) (s maintenance.Status, err error) {
	return s, c.ask(ctx, http.MethodGet, "/work", nil, &s)
}

// CancelOrder takes a request back.
func (c *Client) CancelOrder(ctx context.Context, node string) error {
	return c.ask(ctx, http.MethodDelete, workPath(node), nil, nil)
}

// PauseMaintenance pauses the order, or has it go on.
func (c *Client) PauseMaintenance(ctx context.Context, paused bool, why string) error {
	body, err := json.Marshal(maintenance.PauseRequest{Reason: why})
	if err != nil {
		return err
	}
	path := "/work/resume"
	if paused {
		path = "/work/pause"
	}
	return c.ask(ctx, http.MethodPost, path, body, nil)
}

// ReportPhase notes what a machine says of its work; it may be said again.
func (c *Client) ReportPhase(ctx context.Context, node string, r maintenance.PhaseReport) error {
	body, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return c.ask(ctx, http.MethodPut, workPath(node), body, nil)
}

// SendHeartbeat notes what a machine is, once, and gives its job if there is one.
func (c *Client) SendHeartbeat(ctx context.Context, b maintenance.Heartbeat) (j *maintenance.Order, err error) {
	body, err := json.Marshal(b)
	if err != nil {
		return nil, err
	}
	return j, c.ask(ctx, http.MethodPut, workPath(b.Name)+"/beat", body, &j)
}
