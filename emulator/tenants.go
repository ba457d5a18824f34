package emulator

import (
	"maps"
	"reflect"
	"slices"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// keysPerTenant is the number of keys that each tenant starts with.
const keysPerTenant = 2

// newKey creates a key that was never used before.
func (operator *operator) newKey() string {
	operator.keyCount++
	return "key-" + twoDigits(operator.keyCount)
}

func (operator *operator) firstTenants() map[string]any {
	tenants := map[string]any{}
	for number := range operator.day.site.Tenants {
		keys := []any{}
		for range keysPerTenant {
			keys = append(keys, operator.newKey())
		}
		tenants["tenant-"+twoDigits(number+1)] = map[string]any{"keys": keys}
	}
	return tenants
}

func tenantKeys(tenant any) []any {
	tree, _ := tenant.(map[string]any)
	keys, _ := tree["keys"].([]any)
	return keys
}

// tenantsByKey maps each key to its tenant.
func tenantsByKey(tenants map[string]any) map[string]string {
	held := map[string]string{}
	for tenant, item := range tenants {
		for _, key := range tenantKeys(item) {
			held[key.(string)] = tenant
		}
	}
	return held
}

// changeTenants adds to a change by name what turns the tenants of the current version into those of the next.
func (operator *operator) changeTenants(next *configuration, section map[string]any) {
	upsert, remove := map[string]any{}, []string{}
	for tenant, item := range next.tenants {
		if !reflect.DeepEqual(item, operator.current.tenants[tenant]) {
			upsert[tenant] = item
		}
	}
	for tenant := range operator.current.tenants {
		if _, there := next.tenants[tenant]; !there {
			remove = append(remove, tenant)
		}
	}
	slices.Sort(remove)
	if len(upsert) > 0 {
		section["upsert"].(map[string]any)["tenants"] = upsert
	}
	if len(remove) > 0 {
		section["remove"].(map[string]any)["tenants"] = remove
	}
}

// heldKey picks a key that some tenant holds in the newest known version; it is empty without tenants.
func (operator *operator) heldKey(pick func(count int) int) string {
	keys := slices.Sorted(maps.Keys(tenantsByKey(operator.current.tenants)))
	if len(keys) == 0 {
		return ""
	}
	return keys[pick(len(keys))]
}

// alterKey gives a tenant a new key, or withdraws one and sometimes moves it to another tenant. It returns the affected keys.
func (day *Day) alterKey(next *configuration, taken bool) []string {
	names := manifest.SortedKeys(next.tenants)
	from := names[day.chance.IntN(len(names))]
	keys := slices.Clone(tenantKeys(next.tenants[from]))
	touched := []string{}
	switch {
	case taken && len(keys) > 0:
		place := day.chance.IntN(len(keys))
		touched = append(touched, keys[place].(string))
		keys = slices.Delete(keys, place, place+1)
		if to := names[day.chance.IntN(len(names))]; to != from && day.chance.IntN(3) == 0 {
			next.tenants[to] = map[string]any{"keys": append(slices.Clone(tenantKeys(next.tenants[to])), touched[0])}
		}
	default:
		added := day.operator.newKey()
		keys, touched = append(keys, added), append(touched, added)
	}
	next.tenants[from] = map[string]any{"keys": keys}
	return touched
}

// changeTenantKeys adds a key, or with "revoke" withdraws one. Callers that have the key continue to use it.
func (day *Day) changeTenantKeys(trouble Trouble) {
	operator := day.operator
	if day.site.Tenants == 0 {
		return
	}
	for range max(1, trouble.Count) {
		operator.whenFree(func(done func()) {
			next := operator.copy()
			touched := day.alterKey(next, trouble.Kind == "revoke")
			verb := contract.VerbUpdate
			if day.chance.IntN(2) == 0 {
				verb = contract.VerbReplace
			}
			sent, ask := operator.newVersion(next, verb, nil, nil)
			operator.send(sent, ask, func() {
				for _, key := range append(touched, "never", "") {
					day.probeKey(key)
				}
				day.world.After(trouble.interval(), done)
			})
		})
	}
}

// probeKey sends a request with a key directly to each machine, soon after the change and again once it must be in force.
func (day *Day) probeKey(key string) {
	for _, span := range []float64{0.5, day.record.Bounds.Propagate.Seconds() + 0.3} {
		day.world.After(seconds(span), func() {
			for _, machine := range day.machines {
				if machine.up() && machine.data.ready() {
					day.probeWith(machine, day.operator.plainClass().Name, key)
				}
			}
		})
	}
}

// sharedKey gives one key to two tenants, which makes a configuration invalid; it reports false if no tenant has a key.
func (operator *operator) sharedKey(next *configuration) bool {
	key := operator.heldKey(operator.random.IntN)
	holder := tenantsByKey(next.tenants)[key]
	for _, other := range manifest.SortedKeys(next.tenants) {
		if key != "" && other != holder {
			next.tenants[other] = map[string]any{"keys": append(slices.Clone(tenantKeys(next.tenants[other])), key)}
			return true
		}
	}
	return false
}
