package admission

import "math"

// Tenant quotas: a request of a tenant beyond its quota earns a fraction of its
// class's weight. Inputs: QuotaPerSecond of the tenants, OverQuotaFraction, and
// the tenants of the arrivals here.

const (
	// tenantSmoothing is the weight of one arrival in its tenant's fraction: an error of some 6 %.
	tenantSmoothing = 0.003
	// minTotalQuota in requests per second avoids a division by 0.
	minTotalQuota = 1e-9
)

// tenantWeightFraction counts an arrival of the tenant and returns the fraction of
// its weight that it is expected to earn. The server doesn't know the rates over
// all servers, so it compares the tenants' fractions of its own arrivals with
// their fractions of all quotas: a surge of all tenants puts none over its quota.
func (c *Controller) tenantWeightFraction(tenant int) float64 {
	if tenant >= len(c.tenantArrivals) {
		return 1
	}
	totalQuota := minTotalQuota
	for i, t := range c.settings.Tenants {
		totalQuota += t.QuotaPerSecond
		c.tenantArrivals[i] -= c.tenantArrivals[i] * tenantSmoothing
	}
	c.tenantArrivals[tenant] += tenantSmoothing
	within := math.Min(1, c.settings.Tenants[tenant].QuotaPerSecond/totalQuota/c.tenantArrivals[tenant])
	return within + (1-within)*c.settings.OverQuotaFraction
}
