package manifest_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/cedarreel/cedarreel/document"
	"github.com/cedarreel/cedarreel/manifest"
)

const (
	seriesCount  = 400
	seriesLength = 30
)

// items are what a manifest holds in persistent maps, as plain lists.
type items struct {
	routes  []manifest.GatewayRoute
	tenants []manifest.Tenant
	// holders are the tenants that hold the keys that are drawn, by key.
	holders map[string]string
}

// listed gives a manifest and its routes and tenants as plain lists, so that it can be compared.
func listed(read manifest.Manifest) (manifest.Manifest, items) {
	found := items{holders: map[string]string{}}
	read.Gateway.Routes.All(func(route manifest.GatewayRoute) bool {
		found.routes = append(found.routes, route)
		return false
	})
	read.Gateway.Tenants.All(func(tenant manifest.Tenant) bool {
		found.tenants = append(found.tenants, tenant)
		return false
	})
	for number := range drawnKeys {
		key := fmt.Sprint("k", number)
		if holder, held := read.Gateway.Tenants.Holder(manifest.DigestKey(key)); held {
			found.holders[key] = holder.Name
		}
	}
	read.Gateway.Routes, read.Gateway.Tenants = manifest.Routes{}, manifest.Tenants{}
	return read, found
}

const drawnKeys = 8

// drawnTenant shares a key with another one now and then.
func drawnTenant(random *rand.Rand) map[string]any {
	keys := []any{}
	for range random.IntN(3) {
		keys = append(keys, fmt.Sprint("k", random.IntN(drawnKeys)))
	}
	return map[string]any{"keys": keys}
}

func name(random *rand.Rand, kind string) string { return fmt.Sprint(kind, random.IntN(5)) }

// drawnRoute is right most of the time.
func drawnRoute(random *rand.Rand) map[string]any {
	route := map[string]any{"host": name(random, "h"), "prefix": fmt.Sprintf("/%d/", random.IntN(3)), "timeoutMs": json.Number("1000"), "service": name(random, "s")}
	switch random.IntN(12) {
	case 0:
		route["timeoutMs"] = json.Number("0")
	case 1:
		route["prefix"] = "no slash"
	case 2:
		route["split"] = []any{map[string]any{"service": name(random, "s"), "weight": json.Number("1")}}
	case 3:
		route["kind"] = "none such"
	}
	return route
}

func drawnOrder(random *rand.Rand, revision int) map[string]any {
	routes, services := map[string]any{}, map[string]any{}
	for range random.IntN(4) {
		routes[name(random, "r")] = drawnRoute(random)
	}
	if random.IntN(3) == 0 {
		services[name(random, "s")] = map[string]any{"connections": json.Number(fmt.Sprint(random.IntN(9)))}
	}
	tenants := map[string]any{}
	for range random.IntN(2) {
		tenants[name(random, "t")] = drawnTenant(random)
	}
	remove := map[string]any{"routes": []any{name(random, "r")}, "tenants": []any{name(random, "t")}}
	if random.IntN(6) == 0 {
		remove["services"] = []any{name(random, "s")}
	}
	upsert := map[string]any{"routes": routes, "services": services, "tenants": tenants}
	if random.IntN(4) == 0 {
		upsert["limits"] = map[string]any{"idleMs": json.Number(fmt.Sprint(random.IntN(9)))}
	}
	return map[string]any{"gateway": map[string]any{"revision": json.Number(fmt.Sprint(revision)), "upsert": upsert, "remove": remove}}
}

func drawnChange(t *testing.T, random *rand.Rand, content *document.Document, revision int) document.Change {
	t.Helper()
	if random.IntN(4) == 0 {
		patch := map[string]any{"zones": map[string]any{name(random, "z"): map[string]any{"region": name(random, "e"), "drained": random.IntN(2) == 0}}}
		change, failure := content.MergePatch(patch)
		if failure != nil {
			t.Fatal(failure)
		}
		return change
	}
	change, failure := manifest.GatewayChange(content, drawnOrder(random, revision), false)
	if failure != nil {
		t.Fatal(failure)
	}
	return change
}

// TestChangesAreReadLikeTheWhole reads series of changes by what they change, and wants the same verdict and the same manifest as from
// reading the whole.
func TestChangesAreReadLikeTheWhole(t *testing.T) {
	taken, refused := 0, 0
	for seed := range uint64(seriesCount) {
		random := rand.New(rand.NewPCG(seed, 4))
		content, failure := document.Parse([]byte(`{"regions":{"e0":{"shards":1,"machines":[]},"e1":{"shards":1,"machines":[]}},"zones":{},` +
			`"gateway":{"revision":1,"routes":{},"services":{"s0":{},"s1":{},"s2":{}}}}`))
		if failure != nil {
			t.Fatal(failure)
		}
		read, failure := manifest.FromDocument(content)
		if failure != nil {
			t.Fatal(failure)
		}
		for step := range seriesLength {
			change := drawnChange(t, random, content, 2+step)
			next := content.Apply(change)
			whole, wrong := manifest.FromDocument(next)
			stepped, wrongStepped := read.Next(next, change)
			if (wrong == nil) != (wrongStepped == nil) {
				t.Fatalf("seed %d, step %d: the whole: %v; the change: %v; %s", seed, step, wrong, wrongStepped, next.JSON())
			}
			if wrong != nil {
				refused++
				continue
			}
			wholeHead, wholeItems := listed(whole)
			head, held := listed(stepped)
			if !reflect.DeepEqual(head, wholeHead) || !reflect.DeepEqual(held, wholeItems) {
				t.Fatalf("seed %d, step %d: %+v %+v, want %+v %+v", seed, step, head, held, wholeHead, wholeItems)
			}
			content, read = next, stepped
			taken++
		}
	}
	if taken < seriesCount || refused < seriesCount {
		t.Fatalf("%d changes taken and %d refused are too few", taken, refused)
	}
}

func TestAnItemThatIsRemovedAndPutInAgainStays(t *testing.T) {
	content, _ := document.Parse([]byte(`{"regions":{},"zones":{},"gateway":{"revision":1,"routes":{"r":{"host":"h","place":7}},"services":{}}}`))
	order, failure := manifest.Tree([]byte(`{"gateway":{"revision":2,"upsert":{"routes":{"r":{"host":"h","place":7}}},"remove":{"routes":["r"]}}}`))
	if failure != nil {
		t.Fatal(failure)
	}
	change, failure := manifest.GatewayChange(content, order, false)
	if failure != nil {
		t.Fatal(failure)
	}
	if value, there := content.Apply(change).Part("/gateway/routes/r"); !there || value != `{"host":"h","place":7}` {
		t.Fatal("the route is gone:", value)
	}
}
