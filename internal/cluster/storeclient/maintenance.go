package storeclient

import (
	"context"
	"net/http"
	"net/url"

	"oxbowbridge/internal/maintenance"
)

func orderPath(machine string) string { return "/work/" + url.PathEscape(machine) }

// SubmitOrder submits a maintenance order for a machine.
func (c *Client) SubmitOrder(ctx context.Context, order maintenance.Order) (submitted maintenance.Order, err error) {
	err = c.callJSON(ctx, http.MethodPost, "/work", order, &submitted)
	return submitted, err
}

// MaintenanceStatus returns the status of all maintenance orders and machines.
func (c *Client) MaintenanceStatus(ctx context.Context) (status maintenance.Status, err error) {
	err = c.call(ctx, http.MethodGet, "/work", nil, &status)
	return status, err
}

// CancelOrder cancels the maintenance order of a machine.
func (c *Client) CancelOrder(ctx context.Context, machine string) error {
	return c.call(ctx, http.MethodDelete, orderPath(machine), nil, nil)
}

// PauseMaintenance pauses maintenance if paused is true, and otherwise resumes it.
func (c *Client) PauseMaintenance(ctx context.Context, paused bool, reason string) error {
	path := "/work/resume"
	if paused {
		path = "/work/pause"
	}
	return c.callJSON(ctx, http.MethodPost, path, maintenance.PauseRequest{Reason: reason}, nil)
}

// ReportPhase reports the maintenance phase of a machine. It is idempotent.
func (c *Client) ReportPhase(ctx context.Context, machine string, report maintenance.PhaseReport) error {
	return c.callJSON(ctx, http.MethodPut, orderPath(machine), report, nil)
}

// SendHeartbeat sends the heartbeat of a machine and returns its maintenance order, or nil if it has
// none.
func (c *Client) SendHeartbeat(ctx context.Context, heartbeat maintenance.Heartbeat) (order *maintenance.Order, err error) {
	err = c.callJSON(ctx, http.MethodPut, orderPath(heartbeat.Name)+"/beat", heartbeat, &order)
	return order, err
}
