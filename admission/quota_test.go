package admission

import (
	"testing"
)

func TestTenantOverQuotaWeighsLess(t *testing.T) {
	tenants := []Tenant{{QuotaPerSecond: 0.1}, {QuotaPerSecond: 0.3}} // far below one per second and server
	r := newDriver(t, func(s *Settings) { s.Tenants, s.OverQuotaFraction = tenants, 0.1 })
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
		t.Errorf("both send their quota and keep %v of their weight", fraction)
	}
	observeArrivals(0, 1)
	if fraction[0] < 0.5 || fraction[0] > 0.6 || fraction[1] != 1 {
		t.Errorf("the first sends twice its quota and they keep %v, want half and a tenth of the rest, and all", fraction)
	}
	r = newDriver(t, func(s *Settings) { s.Tenants = []Tenant{{}, {}} })
	r.controller.observeTenant(0)
	if got := r.controller.tenantWeightFraction(0); got != 0 {
		t.Errorf("a tenant without quota keeps %v", got)
	}
}
