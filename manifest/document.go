package manifest

import (
	"slices"
	"strings"

	"github.com/cedarreel/cedarreel/document"
	"github.com/rotisserie/eris"
)

// JSON Pointers of the parts of the gateway section that are read one by one.
const (
	revisionPointer = "/gateway/revision"
	routePrefix     = "/gateway/routes/"
	servicePrefix   = "/gateway/services/"
	tenantPrefix    = "/gateway/tenants/"
	// extraPointer holds the fields of a platform's configuration that have no counterpart here. They are stored and given back unread.
	extraPointer = "/gateway/more"
)

// FromDocument reads and validates a whole document. The error lists everything that is wrong, with paths.
func FromDocument(content *document.Document) (Manifest, error) {
	reader := baseReader(content)
	manifest := reader.readBase()
	content.VisitPrefix(routePrefix, func(pointer, value string) bool {
		manifest.Gateway.Routes = reader.addRoute(manifest.Gateway, pointer, value)
		return false
	})
	content.VisitPrefix(tenantPrefix, func(pointer, value string) bool {
		manifest.Gateway.Tenants = reader.addTenant(manifest.Gateway.Tenants, pointer, value)
		return false
	})
	return manifest, reader.Err()
}

// Next returns the manifest after a change. It must be called on the manifest of the document before the change; content is the document
// after it. Only what the change touches is read and validated again.
func (manifest Manifest) Next(content *document.Document, change document.Change) (Manifest, error) {
	reader, next := NewReader(nil), manifest
	touched := scopeOf(change)
	switch {
	case touched.base:
		reader = baseReader(content)
		next = reader.readBase()
		next.Gateway.Routes, next.Gateway.Tenants = manifest.Gateway.Routes, manifest.Gateway.Tenants
	case touched.revision:
		next.Gateway.Revision = reader.revision(content)
	}
	for _, pointer := range touched.routes {
		next.Gateway.Routes = next.Gateway.Routes.Without(itemName(pointer, routePrefix))
	}
	for _, pointer := range touched.routes {
		if value, found := content.Part(pointer); found {
			next.Gateway.Routes = reader.addRoute(next.Gateway, pointer, value)
		}
	}
	next.Gateway.Tenants = reader.updateTenants(next.Gateway.Tenants, content, touched.tenants)
	if touched.services {
		reader.checkServices(next.Gateway)
	}
	return next, reader.Err()
}

// updateTenants reads the tenants that a change touches. All of them are removed first, so that a key may move from one to another.
func (reader *Reader) updateTenants(tenants Tenants, content *document.Document, pointers []string) Tenants {
	for _, pointer := range pointers {
		tenants = tenants.Without(itemName(pointer, tenantPrefix))
	}
	for _, pointer := range pointers {
		if value, found := content.Part(pointer); found {
			tenants = reader.addTenant(tenants, pointer, value)
		}
	}
	return tenants
}

// changeScope is what a change touches: routes and tenants by their pointers, the gateway's revision, its services, or, as base, anything
// other than routes, tenants and the revision.
type changeScope struct {
	base, revision, services bool
	routes, tenants          []string
}

// scopeOf sorts the pointers of a change into a changeScope.
func scopeOf(change document.Change) changeScope {
	found := changeScope{}
	for _, pointer := range change.Pointers() {
		switch {
		case strings.HasPrefix(pointer, routePrefix):
			found.routes = append(found.routes, pointer)
		case strings.HasPrefix(pointer, tenantPrefix):
			found.tenants = append(found.tenants, pointer)
		case pointer == revisionPointer:
			found.revision = true
		default:
			found.base = true
			found.services = found.services || strings.HasPrefix(pointer, servicePrefix)
		}
	}
	return found
}

// itemName returns the name of the route or tenant that a pointer under a prefix refers to.
func itemName(pointer, prefix string) string {
	return document.Unescape(strings.TrimPrefix(pointer, prefix))
}

// prefixEnd returns the least pointer that sorts after all pointers with a prefix that ends with a slash: "0" follows "/" in ASCII.
func prefixEnd(prefix string) string { return strings.TrimSuffix(prefix, "/") + "0" }

// baseReader returns a reader of a document without its gateway's routes and tenants. A document that is not an object adds an error.
func baseReader(content *document.Document) *Reader {
	head := content.WithoutRange(routePrefix, prefixEnd(routePrefix)).WithoutRange(tenantPrefix, prefixEnd(tenantPrefix))
	tree, err := ParseObject(head.JSON())
	reader := NewReader(tree)
	if err != nil {
		reader.Errorf("", "%s", err)
	}
	return reader
}

// itemReader returns a reader of one route or tenant, or false if its value is not an object.
func (reader *Reader) itemReader(kind, name, value string) (*Reader, bool) {
	nested := &Reader{prefix: "gateway." + kind + "." + name, errs: reader.errs}
	if !validName(name) {
		nested.Errorf("", "%s", invalidName)
	}
	tree, err := ParseObject([]byte(value))
	if err != nil {
		nested.Errorf("", "want an object")
		return nil, false
	}
	nested.tree = tree
	return nested, true
}

// addRoute reads one route and returns the gateway's routes with it. A route whose host and prefix are in use is an error and left out.
func (reader *Reader) addRoute(gateway Gateway, pointer, value string) Routes {
	name := itemName(pointer, routePrefix)
	routeReader, ok := reader.itemReader("routes", name, value)
	if !ok {
		return gateway.Routes
	}
	route := routeReader.gatewayRoute(name, gateway.Services)
	if other, conflict := gateway.Routes.matchConflict(route); conflict {
		routeReader.Errorf("prefix", "route %q has the same host and prefix", other)
		return gateway.Routes
	}
	return gateway.Routes.With(route)
}

// addTenant reads one tenant and returns the tenants with it. A tenant with a key of another one is an error and left out.
func (reader *Reader) addTenant(tenants Tenants, pointer, value string) Tenants {
	name := itemName(pointer, tenantPrefix)
	tenantReader, ok := reader.itemReader("tenants", name, value)
	if !ok {
		return tenants
	}
	tenant := tenantReader.tenant(name)
	if other, conflict := tenants.keyConflict(tenant); conflict {
		tenantReader.Errorf("keys", "tenant %q has the same key", other)
		return tenants
	}
	return tenants.With(tenant)
}

// checkServices adds an error for each route that names an unknown service.
func (reader *Reader) checkServices(gateway Gateway) {
	gateway.Routes.All(func(route GatewayRoute) bool {
		for _, share := range route.Split {
			if _, found := gateway.Services[share.Service]; !found {
				reader.Errorf("gateway.routes."+route.Name, "no such service %q", share.Service)
			}
		}
		return false
	})
}

// revision reads the operators' own revision number of a document's gateway section, or 0 if it has none.
func (reader *Reader) revision(content *document.Document) int64 {
	value, found := content.Part(revisionPointer)
	if !found {
		return 0
	}
	sectionReader := &Reader{prefix: "gateway", errs: reader.errs}
	tree, err := ParseObject([]byte(`{"revision":` + value + `}`))
	if err != nil {
		sectionReader.Errorf("revision", "%s", err)
		return 0
	}
	sectionReader.tree = tree
	return sectionReader.Integer("revision", 0, 0, maxInteger)
}

// GatewayRevision returns the operators' own revision number of a document's gateway section, or 0 if it has none or an invalid one.
func GatewayRevision(content *document.Document) int64 { return NewReader(nil).revision(content) }

// GatewayChange returns the change that an operator's order makes to a document. With replaceAll the order's gateway section replaces the
// former one. Otherwise the items under "upsert" are inserted, each as a whole and at the list position of the item that it replaces, and
// those named under "remove" are deleted. Top-level members of the order other than "gateway" are only added where the document lacks them.
func GatewayChange(former *document.Document, order map[string]any, replaceAll bool) (document.Change, error) {
	change := document.Change{}
	for name, value := range order {
		if name == "gateway" || former.Has(document.Pointer(name)) {
			continue
		}
		part, err := former.Replace(value, name)
		if err != nil {
			return change, err
		}
		change.Append(part)
	}
	section, ok := order["gateway"].(map[string]any)
	if !ok {
		return change, eris.New("gateway: want an object")
	}
	part, err := document.Change{}, error(nil)
	if replaceAll {
		part, err = former.Replace(section, "gateway")
	} else {
		part, err = updateGateway(former, section)
	}
	change.Append(part)
	return change, err
}

// extraField is the field of the gateway section, and of "upsert" and "remove", under extraPointer.
const extraField = "more"

// itemKinds are the kinds of named items of a gateway section.
var itemKinds = []string{"routes", "services", "tenants"}

// updateGateway returns the change that the "upsert" and "remove" objects of an order make to the gateway section.
func updateGateway(former *document.Document, section map[string]any) (document.Change, error) {
	change := document.Change{}
	replace := func(value any, names ...string) error {
		part, err := former.Replace(value, names...)
		change.Append(part)
		return err
	}
	if err := replace(section["revision"], "gateway", "revision"); err != nil {
		return change, err
	}
	upsert, _ := section["upsert"].(map[string]any)
	remove, _ := section["remove"].(map[string]any)
	for _, kind := range itemKinds {
		names, _ := remove[kind].([]any)
		removed := removeItems(former, kind, names)
		rest := former.Apply(removed)
		change.Append(removed)
		added, _ := upsert[kind].(map[string]any)
		for name, item := range added {
			item = withFormerPosition(item, rest, document.Pointer("gateway", kind, name))
			part, err := rest.Replace(item, "gateway", kind, name)
			if err != nil {
				return change, err
			}
			change.Append(part)
		}
	}
	for name, value := range upsert {
		if slices.Contains(itemKinds, name) || name == extraField {
			continue
		}
		if err := replace(value, "gateway", name); err != nil {
			return change, err
		}
	}
	more, err := updateExtra(former, upsert[extraField], remove[extraField])
	if err == nil && more != nil {
		err = replace(more, "gateway", extraField)
	}
	return change, err
}

// removeItems returns the change that deletes named items of a kind. Unknown names are ignored.
func removeItems(former *document.Document, kind string, names []any) document.Change {
	change := document.Change{}
	for _, name := range names {
		text, ok := name.(string)
		pointer := document.Pointer("gateway", kind, text)
		if ok && former.Has(pointer) && !slices.Contains(change.Remove, pointer) {
			change.Remove = append(change.Remove, pointer)
		}
	}
	return change
}

// withFormerPosition returns an item with the list position ("place") of the item that it replaces, if there is one.
func withFormerPosition(item any, former *document.Document, pointer string) any {
	text, found := former.Part(pointer)
	replacement, ok := item.(map[string]any)
	if !found || !ok {
		return item
	}
	formerObject, err := ParseObject([]byte(text))
	position, known := formerObject["place"]
	if err != nil || !known {
		return item
	}
	moved := map[string]any{"place": position}
	for key, value := range replacement {
		if key != "place" {
			moved[key] = value
		}
	}
	return moved
}
