package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/admission"
)

// rejectionLogInterval is the minimum time between two log lines about rejections of the same class
// for the same reason.
const rejectionLogInterval = time.Second

// rejectionKey identifies the rejections that are counted in one log line.
type rejectionKey struct {
	class  int
	reason admission.RejectReason
}

// rejectionLog counts the controller's rejections that are not logged yet, by class and reason.
type rejectionLog struct {
	unlogged  map[rejectionKey]int
	scheduled bool // a timer for logRejections is set
}

// recordRejection counts a rejection. The first rejection after an interval without any is logged
// immediately. Later rejections are logged together at the end of each interval.
func (d *Dispatcher) recordRejection(class int, reason admission.RejectReason) {
	d.rejections.unlogged[rejectionKey{class: class, reason: reason}]++
	if !d.rejections.scheduled {
		d.logRejections()
	}
}

// logRejections logs one line for each class and reason with rejections since the last call. It
// reschedules itself after an interval, until an interval had no rejections.
func (d *Dispatcher) logRejections() {
	d.rejections.scheduled = len(d.rejections.unlogged) > 0
	if !d.rejections.scheduled {
		return
	}
	for _, key := range slices.SortedFunc(maps.Keys(d.rejections.unlogged), compareRejectionKeys) {
		d.Log.Warn("requests rejected by the admission controller",
			zap.String("class", d.SiteSettings.Classes[key.class].Name),
			zap.Stringer("reason", key.reason),
			zap.Int("count", d.rejections.unlogged[key]))
	}
	clear(d.rejections.unlogged)
	d.Timers.Schedule(d.Now()+rejectionLogInterval, d.logRejections)
}

func compareRejectionKeys(a, b rejectionKey) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.reason, b.reason))
}
