package manifest

import (
	"slices"
	"strings"

	"github.com/cedarreel/cedarreel/document"
	"github.com/rotisserie/eris"
)

const (
	revisionPart   = "/gateway/revision"
	routePrefix    = "/gateway/routes/"
	servicesPrefix = "/gateway/services/"
	tenantPrefix   = "/gateway/tenants/"
	// morePart is what the gateway section carries without knowing it.
	morePart = "/gateway/more"
)

// FromDocument reads and checks a whole document and gives every error at once.
func FromDocument(content *document.Document) (Manifest, error) {
	reader := headReader(content)
	read := reader.readHead()
	content.Under(routePrefix, func(pointer, value string) bool {
		read.Gateway.Routes = reader.addRoute(read.Gateway, pointer, value)
		return false
	})
	content.Under(tenantPrefix, func(pointer, value string) bool {
		read.Gateway.Tenants = reader.addTenant(read.Gateway.Tenants, pointer, value)
		return false
	})
	return read, reader.Err()
}

// Next gives the manifest that a change made of this one; content is the document with the change. Only what the change touches is read
// again and checked; this manifest has to be that of the document before.
func (read Manifest) Next(content *document.Document, change document.Change) (Manifest, error) {
	reader, next := NewReader(nil), read
	touched := touchedBy(change)
	switch {
	case touched.head:
		reader = headReader(content)
		next = reader.readHead()
		next.Gateway.Routes, next.Gateway.Tenants = read.Gateway.Routes, read.Gateway.Tenants
	case touched.revision:
		next.Gateway.Revision = reader.revision(content)
	}
	for _, pointer := range touched.routes {
		next.Gateway.Routes = next.Gateway.Routes.Without(itemName(pointer, routePrefix))
	}
	for _, pointer := range touched.routes {
		if value, there := content.Part(pointer); there {
			next.Gateway.Routes = reader.addRoute(next.Gateway, pointer, value)
		}
	}
	next.Gateway.Tenants = reader.nextTenants(next.Gateway.Tenants, content, touched.tenants)
	if touched.services {
		reader.checkServices(next.Gateway)
	}
	return next, reader.Err()
}

// nextTenants reads the tenants that a change touches. All of them go first, so that a key may move from one to another.
func (reader *Reader) nextTenants(tenants Tenants, content *document.Document, pointers []string) Tenants {
	for _, pointer := range pointers {
		tenants = tenants.Without(itemName(pointer, tenantPrefix))
	}
	for _, pointer := range pointers {
		if value, there := content.Part(pointer); there {
			tenants = reader.addTenant(tenants, pointer, value)
		}
	}
	return tenants
}

// touched is what a change touches: routes and tenants by their pointers, the gateway's revision, services, or anything else.
type touched struct {
	head, revision, services bool
	routes, tenants          []string
}

func touchedBy(change document.Change) touched {
	found := touched{}
	for _, pointer := range change.Pointers() {
		switch {
		case strings.HasPrefix(pointer, routePrefix):
			found.routes = append(found.routes, pointer)
		case strings.HasPrefix(pointer, tenantPrefix):
			found.tenants = append(found.tenants, pointer)
		case pointer == revisionPart:
			found.revision = true
		default:
			found.head = true
			found.services = found.services || strings.HasPrefix(pointer, servicesPrefix)
		}
	}
	return found
}

// itemName gives the name of a route or tenant whose part has a pointer under a prefix.
func itemName(pointer, prefix string) string {
	return document.Unescape(strings.TrimPrefix(pointer, prefix))
}

// afterAll gives the least name that comes after all that begin with a prefix, which ends with a slash.
func afterAll(prefix string) string { return strings.TrimSuffix(prefix, "/") + "0" }

// headReader reads a document without its gateway's routes and tenants; what makes it no object shows as an error there.
func headReader(content *document.Document) *Reader {
	head := content.Without(routePrefix, afterAll(routePrefix)).Without(tenantPrefix, afterAll(tenantPrefix))
	tree, failure := Tree(head.JSON())
	reader := NewReader(tree)
	if failure != nil {
		reader.Wrong("", "%s", failure)
	}
	return reader
}

// item gives a reader of one route or tenant, or false where its part is no object.
func (reader *Reader) item(kind, name, value string) (*Reader, bool) {
	under := &Reader{prefix: "gateway." + kind + "." + name, errs: reader.errs}
	if !validName(name) {
		under.Wrong("", "%s", nameRule)
	}
	tree, failure := Tree([]byte(value))
	if failure != nil {
		under.Wrong("", "want an object")
		return nil, false
	}
	under.tree = tree
	return under, true
}

// addRoute reads one route and gives a gateway's routes with it.
func (reader *Reader) addRoute(gateway Gateway, pointer, value string) Routes {
	name := itemName(pointer, routePrefix)
	under, fine := reader.item("routes", name, value)
	if !fine {
		return gateway.Routes
	}
	route := under.gatewayRoute(name, gateway.Services)
	if other, double := gateway.Routes.taken(route); double {
		under.Wrong("prefix", "route %q has the same host and prefix", other)
		return gateway.Routes
	}
	return gateway.Routes.With(route)
}

// addTenant reads one tenant and gives tenants with it.
func (reader *Reader) addTenant(tenants Tenants, pointer, value string) Tenants {
	name := itemName(pointer, tenantPrefix)
	under, fine := reader.item("tenants", name, value)
	if !fine {
		return tenants
	}
	tenant := under.tenant(name)
	if other, shared := tenants.sharer(tenant); shared {
		under.Wrong("keys", "tenant %q has the same key", other)
		return tenants
	}
	return tenants.With(tenant)
}

// checkServices wants every service that a route names to be there.
func (reader *Reader) checkServices(gateway Gateway) {
	gateway.Routes.All(func(route GatewayRoute) bool {
		for _, share := range route.Split {
			if _, there := gateway.Services[share.Service]; !there {
				reader.Wrong("gateway.routes."+route.Name, "no such service %q", share.Service)
			}
		}
		return false
	})
}

// revision reads the operators' own revision number of a document's gateway section, 0 without one.
func (reader *Reader) revision(content *document.Document) int64 {
	value, there := content.Part(revisionPart)
	if !there {
		return 0
	}
	under := &Reader{prefix: "gateway", errs: reader.errs}
	tree, failure := Tree([]byte(`{"revision":` + value + `}`))
	if failure != nil {
		under.Wrong("revision", "%s", failure)
		return 0
	}
	under.tree = tree
	return under.Number("revision", 0, 0, mostWhole)
}

// GatewayRevision gives the operators' own revision number of a document's gateway section, or 0.
func GatewayRevision(content *document.Document) int64 { return NewReader(nil).revision(content) }

// GatewayChange gives the change that an operator's change of the gateway section makes of a document: the whole section of the order,
// or the former one with the items of "upsert" put in, each whole but in the place of the one that it replaces, and those that "remove"
// names taken out. The rest of a first order is kept, later ones only add to it.
func GatewayChange(former *document.Document, order map[string]any, whole bool) (document.Change, error) {
	change := document.Change{}
	for name, value := range order {
		if name == "gateway" || former.Has(document.Pointer(name)) {
			continue
		}
		part, failure := former.Replace(value, name)
		if failure != nil {
			return change, failure
		}
		change.Join(part)
	}
	section, fine := order["gateway"].(map[string]any)
	if !fine {
		return change, eris.New("gateway: want an object")
	}
	part, failure := document.Change{}, error(nil)
	if whole {
		part, failure = former.Replace(section, "gateway")
	} else {
		part, failure = updateGateway(former, section)
	}
	change.Join(part)
	return change, failure
}

const moreName = "more"

// itemKinds are the kinds of named items of a gateway section.
var itemKinds = []string{"routes", "services", "tenants"}

func updateGateway(former *document.Document, section map[string]any) (document.Change, error) {
	change := document.Change{}
	replace := func(value any, names ...string) error {
		part, failure := former.Replace(value, names...)
		change.Join(part)
		return failure
	}
	if failure := replace(section["revision"], "gateway", "revision"); failure != nil {
		return change, failure
	}
	upsert, _ := section["upsert"].(map[string]any)
	remove, _ := section["remove"].(map[string]any)
	for _, kind := range itemKinds {
		names, _ := remove[kind].([]any)
		removed := removeItems(former, kind, names)
		rest := former.Apply(removed)
		change.Join(removed)
		added, _ := upsert[kind].(map[string]any)
		for name, item := range added {
			item = placed(item, rest, document.Pointer("gateway", kind, name))
			part, failure := rest.Replace(item, "gateway", kind, name)
			if failure != nil {
				return change, failure
			}
			change.Join(part)
		}
	}
	for name, value := range upsert {
		if slices.Contains(itemKinds, name) || name == moreName {
			continue
		}
		if failure := replace(value, "gateway", name); failure != nil {
			return change, failure
		}
	}
	more, failure := nextMore(former, upsert[moreName], remove[moreName])
	if failure == nil && more != nil {
		failure = replace(more, "gateway", moreName)
	}
	return change, failure
}

// removeItems gives the change that takes named items of a kind out.
func removeItems(former *document.Document, kind string, names []any) document.Change {
	change := document.Change{}
	for _, name := range names {
		text, fine := name.(string)
		pointer := document.Pointer("gateway", kind, text)
		if fine && former.Has(pointer) && !slices.Contains(change.Remove, pointer) {
			change.Remove = append(change.Remove, pointer)
		}
	}
	return change
}

// placed gives an item with the place of the one that it replaces.
func placed(item any, former *document.Document, pointer string) any {
	text, there := former.Part(pointer)
	fresh, fine := item.(map[string]any)
	if !there || !fine {
		return item
	}
	held, failure := Tree([]byte(text))
	place, known := held["place"]
	if failure != nil || !known {
		return item
	}
	moved := map[string]any{"place": place}
	for key, value := range fresh {
		if key != "place" {
			moved[key] = value
		}
	}
	return moved
}
