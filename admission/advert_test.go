package admission

import (
	"testing"
)

func TestAdvertKinds(t *testing.T) {
	for _, kind := range []AdvertKind{AdvertNone, AdvertMinRank, AdvertCredit, AdvertWeight} {
		r := newTestController(t, func(s *Settings) { s.AdvertKind = kind })
		got := r.handleAfter(gaugeInterval, TimerFired{TimerID: r.controller.timerID, Gauges: Gauges{CPUUtilization: 0}})
		advertised := countActions[Advertise](got)
		if kind == AdvertNone && advertised != 0 || kind != AdvertNone && advertised != 1 {
			t.Errorf("advert kind %v: actions %v, want one Advertise unless the kind is AdvertNone", kind, got)
		}
		if kind == AdvertWeight || kind == AdvertMinRank {
			if value := r.controller.advertValue(); value < 0 || value > 1 {
				t.Errorf("advert kind %v: value %v, want 0 to 1", kind, value)
			}
		}
	}
}
