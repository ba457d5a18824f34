package emulator

import (
	"maps"
	"reflect"
	"slices"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// keysPerTenant is how many keys a tenant has at first.
const keysPerTenant = 2

// key names a key that was never given before.
func (operator *operator) key() string {
	operator.keys++
	return "key-" + name(operator.keys)
}

func (operator *operator) firstTenants() map[string]any {
	tenants := map[string]any{}
	for number := range operator.day.site.Tenants {
		keys := []any{}
		for range keysPerTenant {
			keys = append(keys, operator.key())
		}
		tenants["tenant-"+name(number+1)] = map[string]any{"keys": keys}
	}
	return tenants
}

func keysOf(tenant any) []any {
	tree, _ := tenant.(map[string]any)
	keys, _ := tree["keys"].([]any)
	return keys
}

// holders gives the tenants by their keys.
func holders(tenants map[string]any) map[string]string {
	held := map[string]string{}
	for tenant, item := range tenants {
		for _, key := range keysOf(item) {
			held[key.(string)] = tenant
		}
	}
	return held
}

// changeTenants adds to a change by name what makes the tenants of the current version those of the next.
func (operator *operator) changeTenants(next *stored, section map[string]any) {
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

// heldKey gives a key that some tenant holds in the newest version that the operator knows, empty without tenants.
func (operator *operator) heldKey(pick func(count int) int) string {
	keys := slices.Sorted(maps.Keys(holders(operator.current.tenants)))
	if len(keys) == 0 {
		return ""
	}
	return keys[pick(len(keys))]
}

// changeKeys gives some tenant another key, or takes one away; now and then a key moves to another tenant. It gives the keys that were
// touched.
func (day *Day) changeKeys(next *stored, taken bool) []string {
	names := manifest.SortedKeys(next.tenants)
	from := names[day.chance.IntN(len(names))]
	keys := slices.Clone(keysOf(next.tenants[from]))
	touched := []string{}
	switch {
	case taken && len(keys) > 0:
		place := day.chance.IntN(len(keys))
		touched = append(touched, keys[place].(string))
		keys = slices.Delete(keys, place, place+1)
		if to := names[day.chance.IntN(len(names))]; to != from && day.chance.IntN(3) == 0 {
			next.tenants[to] = map[string]any{"keys": append(slices.Clone(keysOf(next.tenants[to])), touched[0])}
		}
	default:
		added := day.operator.key()
		keys, touched = append(keys, added), append(touched, added)
	}
	next.tenants[from] = map[string]any{"keys": keys}
	return touched
}

// keys moves the tenants on: a key that comes, or with "revoke" one that goes. Callers that hold it go on with it.
func (day *Day) keys(trouble Trouble) {
	operator := day.operator
	if day.site.Tenants == 0 {
		return
	}
	for range max(1, trouble.Count) {
		operator.whenFree(func(done func()) {
			next := operator.copy()
			touched := day.changeKeys(next, trouble.Kind == "revoke")
			verb := contract.VerbUpdate
			if day.chance.IntN(2) == 0 {
				verb = contract.VerbReplace
			}
			sent, ask := operator.version(next, verb, nil, nil)
			operator.send(sent, ask, func() {
				for _, key := range append(touched, "never", "") {
					day.probeKey(key)
				}
				day.world.After(trouble.gap(), done)
			})
		})
	}
}

// probeKey sends a request with a key straight to each machine, soon and once more when it has to be in force.
func (day *Day) probeKey(key string) {
	for _, span := range []float64{0.5, day.record.Bounds.Propagate.Seconds() + 0.3} {
		day.world.After(seconds(span), func() {
			for _, machine := range day.machines {
				if machine.up() && machine.data.ready() {
					day.probeWith(machine, day.operator.plain().Name, key)
				}
			}
		})
	}
}

// sharedKey has two tenants hold one key, which makes a configuration invalid; it is false where no tenant has a key.
func (operator *operator) sharedKey(next *stored) bool {
	key := operator.heldKey(operator.random.IntN)
	holder := holders(next.tenants)[key]
	for _, other := range manifest.SortedKeys(next.tenants) {
		if key != "" && other != holder {
			next.tenants[other] = map[string]any{"keys": append(slices.Clone(keysOf(next.tenants[other])), key)}
			return true
		}
	}
	return false
}
