package dispatch

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/admission"
)

// execute carries out one action of the controller. Actions on requests that are already
// forgotten are skipped.
func (d *Dispatcher) execute(now time.Duration, a admission.Action) {
	switch a := a.(type) {
	case admission.Run:
		d.startOrReportGone(now, a.ID)
	case admission.Preempt:
		d.withRequest(a.ID, d.preempt)
	case admission.Reject:
		d.withRequest(a.ID, func(r *request) { d.reject(r, a) })
	case admission.Fail:
		d.withRequest(a.ID, d.fail)
	case admission.StartCall:
		d.withRequest(a.ID, func(r *request) { d.call(now, r, a.Deadline) })
	case admission.ShareResult:
		d.withRequest(a.ID, func(r *request) { d.joinOriginal(now, r) })
	case admission.StoreKey, admission.EvictKey:
		// The idempotency table learns from the requests when a key is first used, and when
		// it is free again.
	case admission.Advertise:
		d.Exchange.SetAdvertisedValue(a.Value)
	case admission.SetHealth:
		d.setHealthy(a.Healthy)
	case admission.SetIdleTimeout:
		d.idleTimeout = a.Timeout
	case admission.SetTimer:
		d.scheduleControllerTimer(now, a)
	case admission.LogMessage:
		d.Log.Info("admission controller remark", zap.String("text", a.Text))
	default:
		d.Log.Error("unsupported admission action", zap.String("type", fmt.Sprintf("%T", a)))
	}
}

func (d *Dispatcher) withRequest(id uint32, do func(*request)) {
	if r := d.byID[id]; r != nil {
		do(r)
	}
}

// startOrReportGone starts a request. The controller expects an end for each start, also of a
// request that is forgotten.
func (d *Dispatcher) startOrReportGone(now time.Duration, id uint32) {
	r := d.byID[id]
	if r == nil {
		d.reportNextTurn(admission.Completed{ID: id, Outcome: admission.OutcomeNotStarted})
		return
	}
	d.start(now, r)
}

// setHealthy sets the answer to health checks, and the listing where the settings have one.
func (d *Dispatcher) setHealthy(healthy bool) {
	d.controllerHealthy = healthy
	d.updateHealth()
	if d.SiteSettings.Server.Readiness {
		d.Registry.SetAvailable(healthy)
	}
	d.Log.Info("health check status set", zap.Bool("healthy", healthy))
}
