package gateway

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/manifest"
)

// Statuses of calls that may not run and may not later either.
const (
	statusNoRoute  = 404
	statusNoTenant = 401
	statusNoRegion = 403
)

// tenantOf returns the tenant that holds the key of a call, the zero one for a call without a tenant. It is false for a call that may not run: its
// route is not public, and it has no key or one that no tenant holds. A configuration without tenants requires no key.
func (router *Router) tenantOf(route manifest.GatewayRoute, key *manifest.KeyDigest) (manifest.Tenant, bool) {
	tenants := router.manifest.Gateway.Tenants
	if key != nil {
		if tenant, found := tenants.ByKey(*key); found {
			return tenant, true
		}
	}
	return manifest.Tenant{}, route.Public || tenants.Len() == 0
}

// intersectRegions returns the regions that both the route and the tenant of a call allow, false if there are none. An empty list allows all regions.
func intersectRegions(routeRegions, tenantRegions []string) ([]string, bool) {
	if len(routeRegions) == 0 || len(tenantRegions) == 0 {
		return slices.Concat(routeRegions, tenantRegions), true
	}
	allowed := slices.DeleteFunc(slices.Clone(routeRegions), func(region string) bool { return !slices.Contains(tenantRegions, region) })
	return allowed, len(allowed) > 0
}

// newCall returns the state of a call that may run, or a refusal.
func (router *Router) newCall(now time.Duration, event CallArrived) (*callState, *Refuse) {
	route, found := router.routes.Find(event.Host, event.Path)
	if !found {
		return nil, &Refuse{Token: event.Token, Status: statusNoRoute, Reason: "no route"}
	}
	tenant, known := router.tenantOf(route, event.KeyDigest)
	if !known {
		return nil, &Refuse{Token: event.Token, Status: statusNoTenant, Reason: "no tenant holds the key"}
	}
	regions, allowed := intersectRegions(route.AllowedRegions, tenant.AllowedRegions)
	if !allowed {
		return nil, &Refuse{Token: event.Token, Status: statusNoRegion, Reason: "no region is allowed by both route and tenant"}
	}
	route.AllowedRegions = regions
	timeout := event.Timeout
	if timeout <= 0 || timeout > route.Timeout {
		timeout = route.Timeout
	}
	call := &callState{CallArrived: event, route: route, tenant: tenant.Name, deadline: now + timeout, service: router.drawService(route), triedServers: map[string]bool{}}
	call.Prompt = event.Prompt.WithKeys()
	return call, nil
}
