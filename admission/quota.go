package admission

import "math"

// Tenant quotas: a request of a tenant over its quota earns a fraction of its class's priority
// weight. Inputs: QuotaPerSecond of the tenants, OverQuotaFraction, and the tenants of the arrivals
// at this server.

const (
	// tenantSmoothingFactor is the weight of one arrival in the moving averages of the tenants'
	// fractions. The averages have an error of about 6 %.
	tenantSmoothingFactor = 0.003
	// minTotalQuota, in requests per second, prevents a division by 0.
	minTotalQuota = 1e-9
)

// observeTenant counts an arrival in the tenants' fractions of the arrivals at this server. Unknown
// tenants are not counted.
func (c *Controller) observeTenant(tenant int) {
	if tenant >= len(c.tenantArrivalFractions) {
		return
	}
	for i := range c.tenantArrivalFractions {
		c.tenantArrivalFractions[i] -= c.tenantArrivalFractions[i] * tenantSmoothingFactor
	}
	c.tenantArrivalFractions[tenant] += tenantSmoothingFactor
}

// tenantWeightFraction is the expected fraction of its priority weight that a request of the tenant
// earns. The server doesn't know the arrival rates over all servers. It therefore compares each
// tenant's fraction of its own arrivals, including this request, with the tenant's fraction of all
// quotas. A load increase of all tenants puts none of them over its quota.
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
