package admission

import "math"

// Tenant quotas: a request of a tenant beyond its quota earns a fraction of its
// class's weight. Inputs: QuotaPerSecond of the tenants, OverQuotaFraction, and
// the tenants of the arrivals here.

const (
	// tenantSmoothingFactor is the weight of one arrival in its tenant's fraction: an error of some 6 %.
	tenantSmoothingFactor = 0.003
	// minTotalQuota in requests per second avoids a division by 0.
	minTotalQuota = 1e-9
)

// observeTenant counts an arrival in the tenants' fractions of the arrivals here. A
// tenant that the settings don't have is not counted.
func (c *Controller) observeTenant(tenant int) {
	if tenant >= len(c.tenantArrivalFractions) {
		return
	}
	for i := range c.tenantArrivalFractions {
		c.tenantArrivalFractions[i] -= c.tenantArrivalFractions[i] * tenantSmoothingFactor
	}
	c.tenantArrivalFractions[tenant] += tenantSmoothingFactor
}

// tenantWeightFraction is the fraction of its weight that a request of the tenant is
// expected to earn. The server doesn't know the rates over all servers, so it compares
// the tenants' fractions of its own arrivals, the request's included, with their
// fractions of all quotas: a surge of all tenants puts none over its quota.
func (c *Controller) tenantWeightFraction(tenant int) float64 {
	if tenant >= len(c.tenantArrivalFractions) {
		return 1
	}
	totalQuota := minTotalQuota
	for _, t := range c.settings.Tenants {
		totalQuota += t.QuotaPerSecond
	}
	withinQuota := math.Min(1, c.settings.Tenants[tenant].QuotaPerSecond/totalQuota/c.tenantArrivalFractions[tenant])
	return withinQuota + (1-withinQuota)*c.settings.OverQuotaFraction
}
