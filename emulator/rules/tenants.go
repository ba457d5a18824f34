package rules

import "slices"

// holds tells whether a version lets a request with a key run: one of its tenants holds it, or it has no tenants.
func holds(version *Version, key string) bool {
	_, held := version.Holders[key]
	return held || len(version.Holders) == 0
}

// tenants: a server is told another tenant than the one that holds the caller's key, a request runs with a key that no version ever held or
// none holds any more, or one is refused though every version that may be in force holds its key.
func (judge *judge) tenants() {
	for _, try := range judge.Tries {
		for _, run := range judge.runs[try.Identity] {
			judge.tenantOf(try, run)
		}
		if try.Status != statusNoKey || try.Sealed || try.Read == 0 || !judge.touched(try.Machine, try.Sent, try.Ended) {
			continue
		}
		versions := judge.inForce(try.Sent, try.Ended)
		if len(versions) > 0 && !slices.ContainsFunc(versions, func(version *Version) bool { return !holds(version, try.Key) }) {
			judge.breach("CONFIG", try.Sent, "%s: %s answered 401, its key has been there for longer than the time to spread", try.Identity, try.Machine)
		}
	}
}

const statusNoKey = 401

func (judge *judge) tenantOf(try *Try, run *Arrival) {
	told := func(version *Version) bool {
		return !version.Invalid && holds(version, try.Key) && version.Holders[try.Key] == run.Tenant
	}
	held := func(version *Version) bool { return !version.Invalid && holds(version, try.Key) }
	if !slices.ContainsFunc(judge.Versions, held) {
		judge.breach("ROUTE", run.RanAt, "%s ran at %s with a key that no version ever held", try.Identity, run.Server)
		return
	}
	if !slices.ContainsFunc(judge.Versions, told) {
		judge.breach("UNASKED", run.RanAt, "%s ran at %s as a call of tenant %q, whose key it did not show", try.Identity, run.Server, run.Tenant)
	}
	if run.Machine != try.Machine || !judge.touched(try.Machine, try.Sent, try.Ended) {
		return
	}
	versions := judge.inForce(try.Sent, try.Ended)
	if len(versions) > 0 && !slices.ContainsFunc(versions, func(version *Version) bool { return holds(version, try.Key) }) {
		judge.breach("CONFIG", run.RanAt, "%s: %s ran it with a key that was taken away", try.Identity, try.Machine)
	}
}
