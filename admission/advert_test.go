package admission

import (
	"testing"
)

func TestAdvertKinds(t *testing.T) {
	for _, kind := range []AdvertKind{AdvertNone, AdvertMinRank, AdvertCredit, AdvertWeight} {
		r := newDriver(t, func(s *Settings) { s.AdvertKind = kind })
		got := r.handleAfter(gaugeInterval, TimerFired{TimerID: r.controller.timerID, Gauges: Gauges{CPUUtilization: 0}})
		published := countActions[Advertise](got)
		if kind == AdvertNone && published != 0 || kind != AdvertNone && published != 1 {
			t.Errorf("advert %v: %v", kind, got)
		}
		if kind == AdvertWeight || kind == AdvertMinRank {
			if x := r.controller.advertValue(); x < 0 || x > 1 {
				t.Errorf("advert %v: %v", kind, x)
			}
		}
	}
}
