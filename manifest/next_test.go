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

// manifestItems holds as plain lists what a manifest keeps in persistent maps, which reflect.DeepEqual cannot compare.
type manifestItems struct {
	routes  []manifest.GatewayRoute
	tenants []manifest.Tenant
	// holders is the tenant that has a key, by key.
	holders map[string]string
}

// separateItems separates a manifest from its routes and tenants.
func separateItems(m manifest.Manifest) (manifest.Manifest, manifestItems) {
	found := manifestItems{holders: map[string]string{}}
	m.Gateway.Routes.All(func(route manifest.GatewayRoute) bool {
		found.routes = append(found.routes, route)
		return false
	})
	m.Gateway.Tenants.All(func(tenant manifest.Tenant) bool {
		found.tenants = append(found.tenants, tenant)
		return false
	})
	for number := range keyCount {
		key := fmt.Sprint("k", number)
		if holder, held := m.Gateway.Tenants.ByKey(manifest.DigestKey(key)); held {
			found.holders[key] = holder.Name
		}
	}
	m.Gateway.Routes, m.Gateway.Tenants = manifest.Routes{}, manifest.Tenants{}
	return m, found
}

const keyCount = 8

// randomTenant returns a random tenant, which sometimes shares a key with another one.
func randomTenant(random *rand.Rand) map[string]any {
	keys := []any{}
	for range random.IntN(3) {
		keys = append(keys, fmt.Sprint("k", random.IntN(keyCount)))
	}
	return map[string]any{"keys": keys}
}

func randomName(random *rand.Rand, kind string) string { return fmt.Sprint(kind, random.IntN(5)) }

// randomRoute returns a random route, which is valid most of the time.
func randomRoute(random *rand.Rand) map[string]any {
	route := map[string]any{"host": randomName(random, "h"), "prefix": fmt.Sprintf("/%d/", random.IntN(3)), "timeoutMs": json.Number("1000"), "service": randomName(random, "s")}
	switch random.IntN(12) {
	case 0:
		route["timeoutMs"] = json.Number("0")
	case 1:
		route["prefix"] = "no slash"
	case 2:
		route["split"] = []any{map[string]any{"service": randomName(random, "s"), "weight": json.Number("1")}}
	case 3:
		route["kind"] = "none such"
	}
	return route
}

func randomOrder(random *rand.Rand, revision int) map[string]any {
	routes, services := map[string]any{}, map[string]any{}
	for range random.IntN(4) {
		routes[randomName(random, "r")] = randomRoute(random)
	}
	if random.IntN(3) == 0 {
		services[randomName(random, "s")] = map[string]any{"connections": json.Number(fmt.Sprint(random.IntN(9)))}
	}
	tenants := map[string]any{}
	for range random.IntN(2) {
		tenants[randomName(random, "t")] = randomTenant(random)
	}
	remove := map[string]any{"routes": []any{randomName(random, "r")}, "tenants": []any{randomName(random, "t")}}
	if random.IntN(6) == 0 {
		remove["services"] = []any{randomName(random, "s")}
	}
	upsert := map[string]any{"routes": routes, "services": services, "tenants": tenants}
	if random.IntN(4) == 0 {
		upsert["limits"] = map[string]any{"idleMs": json.Number(fmt.Sprint(random.IntN(9)))}
	}
	return map[string]any{"gateway": map[string]any{"revision": json.Number(fmt.Sprint(revision)), "upsert": upsert, "remove": remove}}
}

func randomChange(t *testing.T, random *rand.Rand, content *document.Document, revision int) document.Change {
	t.Helper()
	if random.IntN(4) == 0 {
		patch := map[string]any{"zones": map[string]any{randomName(random, "z"): map[string]any{"region": randomName(random, "e"), "drained": random.IntN(2) == 0}}}
		change, err := content.MergePatch(patch)
		if err != nil {
			t.Fatal(err)
		}
		return change
	}
	change, err := manifest.GatewayChange(content, randomOrder(random, revision), false)
	if err != nil {
		t.Fatal(err)
	}
	return change
}

// TestNextMatchesFromDocument applies random changes and compares Manifest.Next, which reads only what a change touches, with
// FromDocument. Both must accept the same changes and return the same manifest.
func TestNextMatchesFromDocument(t *testing.T) {
	accepted, refused := 0, 0
	for seed := range uint64(seriesCount) {
		random := rand.New(rand.NewPCG(seed, 4))
		content, err := document.Parse([]byte(`{"regions":{"e0":{"shards":1,"machines":[]},"e1":{"shards":1,"machines":[]}},"zones":{},` +
			`"gateway":{"revision":1,"routes":{},"services":{"s0":{},"s1":{},"s2":{}}}}`))
		if err != nil {
			t.Fatal(err)
		}
		current, err := manifest.FromDocument(content)
		if err != nil {
			t.Fatal(err)
		}
		for step := range seriesLength {
			change := randomChange(t, random, content, 2+step)
			next := content.Apply(change)
			fromDocument, documentErr := manifest.FromDocument(next)
			fromChange, changeErr := current.Next(next, change)
			if (documentErr == nil) != (changeErr == nil) {
				t.Fatalf("seed %d, step %d: FromDocument: %v; Next: %v; %s", seed, step, documentErr, changeErr, next.JSON())
			}
			if documentErr != nil {
				refused++
				continue
			}
			wantBase, wantItems := separateItems(fromDocument)
			gotBase, gotItems := separateItems(fromChange)
			if !reflect.DeepEqual(gotBase, wantBase) || !reflect.DeepEqual(gotItems, wantItems) {
				t.Fatalf("seed %d, step %d: %+v %+v, want %+v %+v", seed, step, gotBase, gotItems, wantBase, wantItems)
			}
			content, current = next, fromChange
			accepted++
		}
	}
	if accepted < seriesCount || refused < seriesCount {
		t.Fatalf("%d changes accepted and %d refused are too few", accepted, refused)
	}
}

func TestItemThatIsRemovedAndUpsertedStays(t *testing.T) {
	content, _ := document.Parse([]byte(`{"regions":{},"zones":{},"gateway":{"revision":1,"routes":{"r":{"host":"h","place":7}},"services":{}}}`))
	order, err := manifest.ParseObject([]byte(`{"gateway":{"revision":2,"upsert":{"routes":{"r":{"host":"h","place":7}}},"remove":{"routes":["r"]}}}`))
	if err != nil {
		t.Fatal(err)
	}
	change, err := manifest.GatewayChange(content, order, false)
	if err != nil {
		t.Fatal(err)
	}
	if value, found := content.Apply(change).Part("/gateway/routes/r"); !found || value != `{"host":"h","place":7}` {
		t.Fatal("the route is gone:", value)
	}
}
