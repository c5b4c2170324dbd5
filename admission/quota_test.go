package admission

import (
	"testing"
)

func TestTenantOverQuotaEarnsLess(t *testing.T) {
	tenants := []Tenant{{QuotaPerSecond: 0.1}, {QuotaPerSecond: 0.3}} // far below the arrival rate of this server
	r := newTestController(t, func(s *Settings) { s.Tenants, s.OverQuotaFraction = tenants, 0.1 })
	fraction := make([]float64, 2)
	observeArrivals := func(pattern ...int) {
		for i := 0; i < 2000; i++ {
			tenant := pattern[i%len(pattern)]
			r.controller.observeTenant(tenant)
			fraction[tenant] = r.controller.tenantWeightFraction(tenant)
		}
	}
	observeArrivals(0, 1, 1, 1)
	if fraction[0] < 0.97 || fraction[1] < 0.97 {
		t.Errorf("both tenants are within their quotas: weight fractions %v, want about 1 each", fraction)
	}
	observeArrivals(0, 1)
	if fraction[0] < 0.5 || fraction[0] > 0.6 || fraction[1] != 1 {
		t.Errorf("the first tenant sends twice its quota: weight fractions %v, want 0.5 to 0.6 and 1", fraction)
	}
	r = newTestController(t, func(s *Settings) { s.Tenants = []Tenant{{}, {}} })
	r.controller.observeTenant(0)
	if got := r.controller.tenantWeightFraction(0); got != 0 {
		t.Errorf("tenant without a quota: weight fraction %v, want 0", got)
	}
}
