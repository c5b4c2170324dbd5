package storeclient

import (
	"context"
	"net/http"
	"net/url"

	"oxbowbridge/internal/maintenance"
)

func orderPath(machine string) string { return "/work/" + url.PathEscape(machine) }

// SubmitOrder requests maintenance of a machine.
func (c *Client) SubmitOrder(ctx context.Context, order maintenance.Order) (submitted maintenance.Order, err error) {
	err = c.callJSON(ctx, http.MethodPost, "/work", order, &submitted)
	return submitted, err
}

// MaintenanceStatus returns all orders and machines.
func (c *Client) MaintenanceStatus(ctx context.Context) (status maintenance.Status, err error) {
	err = c.call(ctx, http.MethodGet, "/work", nil, &status)
	return status, err
}

// CancelOrder withdraws an order.
func (c *Client) CancelOrder(ctx context.Context, machine string) error {
	return c.call(ctx, http.MethodDelete, orderPath(machine), nil, nil)
}

// PauseMaintenance pauses maintenance, or resumes it.
func (c *Client) PauseMaintenance(ctx context.Context, paused bool, reason string) error {
	path := "/work/resume"
	if paused {
		path = "/work/pause"
	}
	return c.callJSON(ctx, http.MethodPost, path, maintenance.PauseRequest{Reason: reason}, nil)
}

// ReportPhase reports a machine's phase. It may be repeated.
func (c *Client) ReportPhase(ctx context.Context, machine string, report maintenance.PhaseReport) error {
	return c.callJSON(ctx, http.MethodPut, orderPath(machine), report, nil)
}

// SendHeartbeat reports what a machine is, once, and returns its order; nil if there is none.
func (c *Client) SendHeartbeat(ctx context.Context, heartbeat maintenance.Heartbeat) (order *maintenance.Order, err error) {
	err = c.callJSON(ctx, http.MethodPut, orderPath(heartbeat.Name)+"/beat", heartbeat, &order)
	return order, err
}
