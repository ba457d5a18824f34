package rules

import "slices"

// acceptsKey tells whether the version allows a request with this key: a tenant holds the key, or there are no tenants.
func acceptsKey(version *Version, key string) bool {
	_, held := version.TenantsByKey[key]
	return held || len(version.TenantsByKey) == 0
}

// checkTenants checks keys and tenants under the rules UNASKED, ROUTE and CONFIG: servers are told the tenant that holds the key,
// requests with a key that was never held or was withdrawn are not executed, and keys that every version in force holds are not
// refused.
func (checker *checker) checkTenants() {
	for _, attempt := range checker.Attempts {
		for _, execution := range checker.executions[attempt.Identity] {
			checker.checkTenantOf(attempt, execution)
		}
		if attempt.Status != statusUnauthorized || attempt.Sealed || attempt.ReadAt == 0 || !checker.inContact(attempt.Machine, attempt.Sent, attempt.Ended) {
			continue
		}
		versions := checker.versionsInForce(attempt.Sent, attempt.Ended)
		if len(versions) > 0 && !slices.ContainsFunc(versions, func(version *Version) bool { return !acceptsKey(version, attempt.Key) }) {
			checker.report("CONFIG", attempt.Sent, "%s: %s answered 401, its key has been there for longer than the time to spread", attempt.Identity, attempt.Machine)
		}
	}
}

// statusUnauthorized is the answer to a key that no tenant holds.
const statusUnauthorized = 401

// checkTenantOf checks one execution against the tenants of all versions and of those in force.
func (checker *checker) checkTenantOf(attempt *Attempt, execution *Arrival) {
	told := func(version *Version) bool {
		return !version.Invalid && acceptsKey(version, attempt.Key) && version.TenantsByKey[attempt.Key] == execution.Tenant
	}
	held := func(version *Version) bool { return !version.Invalid && acceptsKey(version, attempt.Key) }
	if !slices.ContainsFunc(checker.Versions, held) {
		checker.report("ROUTE", execution.ExecutedAt, "%s ran at %s with a key that no version ever held", attempt.Identity, execution.Server)
		return
	}
	if !slices.ContainsFunc(checker.Versions, told) {
		checker.report("UNASKED", execution.ExecutedAt, "%s ran at %s as a call of tenant %q, whose key it did not show", attempt.Identity, execution.Server, execution.Tenant)
	}
	if execution.Machine != attempt.Machine || !checker.inContact(attempt.Machine, attempt.Sent, attempt.Ended) {
		return
	}
	versions := checker.versionsInForce(attempt.Sent, attempt.Ended)
	if len(versions) > 0 && !slices.ContainsFunc(versions, func(version *Version) bool { return acceptsKey(version, attempt.Key) }) {
		checker.report("CONFIG", execution.ExecutedAt, "%s: %s ran it with a key that was taken away", attempt.Identity, attempt.Machine)
	}
}
