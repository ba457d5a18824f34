package gateway

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/manifest"
)

// Statuses of calls that may not run, and would not later either.
const (
	statusNoRoute  = 404
	statusNoTenant = 401
	statusNoRegion = 403
)

// tenantOf gives the tenant whose key a call shows, the zero one for a public route's call without any. It is false for a call that may
// not run: of a route that is not public, with no key or one that no tenant holds. A configuration without tenants asks for no key.
func (traffic *Traffic) tenantOf(route manifest.GatewayRoute, key *manifest.KeyDigest) (manifest.Tenant, bool) {
	tenants := traffic.read.Gateway.Tenants
	if key != nil {
		if tenant, held := tenants.ByKey(*key); held {
			return tenant, true
		}
	}
	return manifest.Tenant{}, route.Public || tenants.Len() == 0
}

// boundTo gives the regions that may serve a call whose route and tenant have regions: those that both allow. It is false where there are
// none. An empty list allows all.
func boundTo(route, tenant []string) ([]string, bool) {
	if len(route) == 0 || len(tenant) == 0 {
		return slices.Concat(route, tenant), true
	}
	both := slices.DeleteFunc(slices.Clone(route), func(region string) bool { return !slices.Contains(tenant, region) })
	return both, len(both) > 0
}

// newJob makes a call that may run, or a refusal of one that may not.
func (traffic *Traffic) newJob(now time.Duration, event Arrive) (*job, *Refuse) {
	route, there := traffic.routes.Find(event.Host, event.Path)
	if !there {
		return nil, &Refuse{Token: event.Token, Status: statusNoRoute, Reason: "no route"}
	}
	tenant, known := traffic.tenantOf(route, event.Key)
	if !known {
		return nil, &Refuse{Token: event.Token, Status: statusNoTenant, Reason: "no tenant holds the key"}
	}
	regions, allowed := boundTo(route.AllowedRegions, tenant.AllowedRegions)
	if !allowed {
		return nil, &Refuse{Token: event.Token, Status: statusNoRegion, Reason: "no region is allowed by both route and tenant"}
	}
	route.AllowedRegions = regions
	left := event.Left
	if left <= 0 || left > route.Timeout {
		left = route.Timeout
	}
	work := &job{Arrive: event, route: route, tenant: tenant.Name, ends: now + left, service: traffic.draw(route), avoid: map[string]bool{}}
	work.Prompt = event.Prompt.Hashed()
	return work, nil
}
