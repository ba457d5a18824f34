package manifest

import (
	"slices"
	"strings"

	"github.com/cedarreel/cedarreel/document"
	"github.com/rotisserie/eris"
)

const (
	revisionPart = "/gateway/revision"
	routesPart   = "/gateway/routes"
	routePrefix  = routesPart + "/"
	// afterRoutes is the least name that comes after those of all routes.
	afterRoutes    = routesPart + "0"
	servicesPrefix = "/gateway/services/"
)

// FromDocument reads and checks a whole document and gives every error at once.
func FromDocument(content *document.Document) (Manifest, error) {
	reader := headReader(content)
	read := reader.readHead()
	content.Under(routePrefix, func(pointer, value string) bool {
		read.Gateway.Routes = reader.addRoute(read.Gateway, pointer, value)
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
		next.Gateway.Routes = read.Gateway.Routes
	case touched.revision:
		revision, _ := content.Part(revisionPart)
		tree, failure := Tree([]byte(`{"revision":` + revision + `}`))
		if failure != nil {
			return Manifest{}, failure
		}
		reader = &Reader{tree: tree, prefix: "gateway", errs: &[]string{}}
		next.Gateway.Revision = reader.Number("revision", 0, 0, mostWhole)
		reader = &Reader{errs: reader.errs}
	}
	for _, pointer := range touched.routes {
		next.Gateway.Routes = next.Gateway.Routes.Without(routeName(pointer))
	}
	for _, pointer := range touched.routes {
		if value, there := content.Part(pointer); there {
			next.Gateway.Routes = reader.addRoute(next.Gateway, pointer, value)
		}
	}
	if touched.services {
		reader.checkServices(next.Gateway)
	}
	return next, reader.Err()
}

// touched is what a change touches: routes by their pointers, the gateway's revision, services, or anything else but routes.
type touched struct {
	head, revision, services bool
	routes                   []string
}

func touchedBy(change document.Change) touched {
	found := touched{}
	for _, pointer := range change.Pointers() {
		switch {
		case strings.HasPrefix(pointer, routePrefix):
			found.routes = append(found.routes, pointer)
		case pointer == revisionPart:
			found.revision = true
		default:
			found.head = true
			found.services = found.services || strings.HasPrefix(pointer, servicesPrefix)
		}
	}
	return found
}

func routeName(pointer string) string {
	return document.Unescape(strings.TrimPrefix(pointer, routePrefix))
}

// headReader reads a document without its gateway's routes; what makes it no object shows as an error there.
func headReader(content *document.Document) *Reader {
	tree, failure := Tree(content.Without(routePrefix, afterRoutes).JSON())
	reader := NewReader(tree)
	if failure != nil {
		reader.Wrong("", "%s", failure)
	}
	return reader
}

// addRoute reads one route and gives a gateway's routes with it.
func (reader *Reader) addRoute(gateway Gateway, pointer, value string) Routes {
	name := routeName(pointer)
	under := &Reader{prefix: "gateway.routes." + name, errs: reader.errs}
	if !validName(name) {
		under.Wrong("", "%s", nameRule)
	}
	tree, failure := Tree([]byte(value))
	if failure != nil {
		under.Wrong("", "want an object")
		return gateway.Routes
	}
	under.tree = tree
	route := under.gatewayRoute(name, gateway.Services)
	if other, double := gateway.Routes.taken(route); double {
		under.Wrong("prefix", "route %q has the same host and prefix", other)
		return gateway.Routes
	}
	return gateway.Routes.With(route)
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

// GatewayRevision gives the operators' own revision number of a document's gateway section, or 0.
func GatewayRevision(content *document.Document) int64 {
	value, there := content.Part(revisionPart)
	if !there {
		return 0
	}
	tree, failure := Tree([]byte(`{"revision":` + value + `}`))
	if failure != nil {
		return 0
	}
	return NewReader(tree).Number("revision", 0, 0, mostWhole)
}

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
	for _, kind := range []string{"routes", "services"} {
		if !former.Has(document.Pointer("gateway", kind)) {
			change.Put(document.Pointer("gateway", kind), "{}")
		}
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
		if name == "routes" || name == "services" {
			continue
		}
		if failure := replace(value, "gateway", name); failure != nil {
			return change, failure
		}
	}
	return change, nil
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
