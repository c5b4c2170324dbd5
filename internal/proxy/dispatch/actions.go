package dispatch

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/admission"
)

// executeAction executes one action of the admission controller. An action on a request that was already
// removed is skipped, except Run; see startOrReportNotStarted.
func (d *Dispatcher) executeAction(now time.Duration, a admission.Action) {
	switch a := a.(type) {
	case admission.Run:
		d.startOrReportNotStarted(now, a.ID)
	case admission.Preempt:
		d.withRequest(a.ID, d.preempt)
	case admission.Reject:
		d.withRequest(a.ID, func(r *request) { d.reject(r, a) })
	case admission.Fail:
		d.withRequest(a.ID, d.fail)
	case admission.StartCall:
		d.withRequest(a.ID, func(r *request) { d.startCall(now, r, a.Deadline) })
	case admission.ShareResult:
		d.withRequest(a.ID, func(r *request) { d.joinOriginal(now, r) })
	case admission.StoreKey, admission.EvictKey:
		// Nothing to do: the dispatcher adds and removes keys in the idempotency table when requests
		// arrive and end.
	case admission.Advertise:
		d.Exchange.SetAdvertisedValue(a.Value)
	case admission.SetHealth:
		d.setHealthy(a.Healthy)
	case admission.SetIdleTimeout:
		d.idleTimeout = a.Timeout
	case admission.SetTimer:
		d.scheduleControllerTimer(now, a)
	case admission.LogMessage:
		d.Log.Info("admission controller message", zap.String("text", a.Text))
	default:
		d.Log.Error("unsupported admission action", zap.String("type", fmt.Sprintf("%T", a)))
	}
}

func (d *Dispatcher) withRequest(id uint32, do func(*request)) {
	if r := d.byID[id]; r != nil {
		do(r)
	}
}

// startOrReportNotStarted starts a request. The controller expects a Completed event for each Run
// action, so a request that was already removed is reported as not started.
func (d *Dispatcher) startOrReportNotStarted(now time.Duration, id uint32) {
	r := d.byID[id]
	if r == nil {
		d.reportInNextIteration(admission.Completed{ID: id, Outcome: admission.OutcomeNotStarted})
		return
	}
	d.startOrResumeRun(now, r)
}

// setHealthy sets the health check status. If the settings enable readiness reports, it also sets
// the availability in the service registry.
func (d *Dispatcher) setHealthy(healthy bool) {
	d.controllerHealthy = healthy
	d.updateHealth()
	if d.SiteSettings.Server.ReportsAvailability {
		d.Registry.SetAvailable(healthy)
	}
	d.Log.Info("health check status set", zap.Bool("healthy", healthy))
}
