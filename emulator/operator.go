package emulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/emulator/rules"
	"github.com/cedarreel/cedarreel/manifest"
)

// operator keeps the configuration: whole ones and changes by name, on top of the newest that it knows, sent again until the answer
// is clear.
type operator struct {
	day     *Day
	random  *rand.Rand
	current *stored
	busy    bool
	rests   bool
	next    []func()
	spare   int
	// keys is how many keys of tenants were ever named.
	keys    int
	sent    map[int64]*stored
	highest int64
	onAck   []func(*machine)
}

// stored is one version with what it is meant to read as.
type stored struct {
	*rules.Version
	routes   map[string]any
	services map[string]any
	tenants  map[string]any
	limits   map[string]any
}

const (
	firstSent    = 2 * time.Second
	answerTime   = time.Second
	firstPause   = 100 * time.Millisecond
	longestPause = time.Second
	pauseGrows   = 3
	pauseParts   = 2
)

func newOperator(day *Day) *operator {
	return &operator{day: day, random: day.world.source("operator"), sent: map[int64]*stored{}}
}

// begin sends the first configuration until it is taken.
func (operator *operator) begin() {
	first := &stored{Version: &rules.Version{}, routes: map[string]any{}, services: map[string]any{}, limits: map[string]any{"headerBytes": 16384, "bodyBytes": 4194304}}
	for _, service := range operator.day.site.Services {
		item := map[string]any{"healthPath": "/healthz", "connections": service.Connections, "warmupS": service.ColdS, "warmupPerS": service.ColdPerS}
		if service.Engine != nil {
			item["engine"] = map[string]any{"slots": service.Slots, "tokens": service.Engine.Tokens, "stride": service.Engine.Stride}
		}
		first.services[service.Name] = item
	}
	for _, class := range operator.day.site.Classes {
		first.routes[class.Name] = operator.route(class.Name, class)
	}
	for range operator.day.site.Spare {
		operator.addSpare(first)
	}
	first.tenants = operator.firstTenants()
	operator.current = first
	operator.busy = true
	operator.day.world.At(firstSent, func() {
		next, ask := operator.version(first, contract.VerbReplace, nil, nil)
		operator.send(next, ask, func() {
			operator.busy = false
			operator.advance()
		})
	})
}

func (operator *operator) route(name string, class Class) map[string]any {
	route := map[string]any{"host": operator.day.host(), "prefix": "/" + name + "/", "kind": class.Kind, "timeoutMs": class.DeadlineMs, "aimMs": class.AimMs,
		"rank": class.Rank, "attempts": class.Attempts, "service": class.Service}
	if class.GapMs > 0 {
		route["gapMs"] = class.GapMs
	}
	if class.Resumable {
		route["resumable"] = true
	}
	if len(class.Parts) > 0 {
		route["affinity"] = true
	}
	if len(class.Regions) > 0 {
		route["regions"] = class.Regions
	}
	return route
}

// plain gives the class whose calls a spare route takes.
func (operator *operator) plain() Class {
	for _, class := range operator.day.site.Classes {
		if class.Pieces.Mean == 0 {
			return class
		}
	}
	return operator.day.site.Classes[0]
}

func (operator *operator) addSpare(to *stored) string {
	operator.spare++
	added := "spare-" + name(operator.spare)
	to.routes[added] = operator.route(added, operator.plain())
	return added
}

func (operator *operator) copy() *stored {
	return &stored{Version: &rules.Version{}, routes: maps.Clone(operator.current.routes), services: operator.current.services,
		tenants: maps.Clone(operator.current.tenants), limits: operator.current.limits}
}

// version numbers what is sent, on top of the current one.
func (operator *operator) version(next *stored, verb string, upsert, remove []string) (*stored, contract.OperatorRequest) {
	operator.highest += 1 + int64(operator.random.IntN(3))
	now := operator.day.world.Now
	next.Version = &rules.Version{Number: operator.highest, Base: operator.current.Number, Sent: now, Routes: map[string]rules.Route{}}
	for route, item := range next.routes {
		tree := item.(map[string]any)
		service, _ := tree["service"].(string)
		known := rules.Route{Services: []string{service}, AddedLater: next.Version.Base > 0 && operator.late(route)}
		known.Regions, _ = tree["regions"].([]string)
		next.Routes[route] = known
	}
	next.TenantsByKey = holders(next.tenants)
	section := map[string]any{"revision": next.Number}
	if verb == contract.VerbReplace {
		section["routes"], section["services"], section["limits"] = next.routes, next.services, next.limits
		if len(next.tenants) > 0 {
			section["tenants"] = next.tenants
		}
	} else {
		items := map[string]any{}
		for _, name := range upsert {
			items[name] = next.routes[name]
		}
		section["upsert"], section["remove"] = map[string]any{"routes": items}, map[string]any{"routes": append([]string{}, remove...)}
		operator.changeTenants(next, section)
	}
	tree := map[string]any{"gateway": section}
	if verb == contract.VerbReplace {
		regions, zones := map[string]any{}, map[string]any{}
		for _, zone := range operator.day.site.Zones {
			regions[zone.Region] = map[string]any{"shards": 1, "machines": []any{}}
			zones[zone.Name] = map[string]any{"region": zone.Region}
		}
		tree["regions"], tree["zones"] = regions, zones
	}
	body := content(tree)
	operation := contract.Digest(append(fmt.Appendf(nil, "%s%d", verb, next.Base), body...))[:32]
	operator.day.record.Versions = append(operator.day.record.Versions, next.Version)
	operator.sent[next.Number] = next
	return next, contract.OperatorRequest{Verb: verb, BaseRevision: next.Base, HasBaseRevision: true, Body: body, Operation: operation, ReplyOnCommit: true}
}

func (operator *operator) late(route string) bool {
	first := operator.day.record.Versions
	if len(first) == 0 {
		return false
	}
	_, there := first[0].Routes[route]
	return !there
}

// send asks one node after the other until the answer is clear.
func (operator *operator) send(next *stored, ask contract.OperatorRequest, then ...func()) {
	version := next.Version
	unclear := false
	operator.order(ask, 0, func(status int, machine *machine) bool {
		now := operator.day.world.Now
		switch status {
		case 200, 202:
			version.Acknowledged, version.AcknowledgedAt, version.Ended = true, now, now
			if operator.current.Number < version.Number {
				operator.current = next
			}
			operator.acknowledged(machine)
		case 400, 409, 412, 413, 422:
			version.Refused, version.Ended = !unclear, now
			operator.day.say("operator", "refused", version.Number, status)
		default:
			unclear = true
			return false
		}
		for _, follow := range then {
			follow()
		}
		return true
	})
}

func (operator *operator) acknowledged(machine *machine) {
	hooks := operator.onAck
	operator.onAck = nil
	for _, hook := range hooks {
		hook(machine)
	}
}

// order puts an ask to nodes at random, again after a silence or an unclear answer, with a pause that grows; until, if given, ends it.
func (operator *operator) order(ask contract.OperatorRequest, until time.Duration, take func(status int, machine *machine) bool) {
	world, over, tries := operator.day.world, false, 0
	from := place{"operator", operator.day.site.Zones[0].Name, operator.day.site.Zones[0].Region, true}
	var send func(pause time.Duration)
	send = func(pause time.Duration) {
		if over || until > 0 && world.Now >= until {
			return
		}
		nodes := operator.day.operable()
		next := min(longestPause, pause*pauseGrows/pauseParts)
		if len(nodes) == 0 {
			world.After(pause, func() { send(next) })
			return
		}
		node, given := nodes[operator.random.IntN(len(nodes))], false
		end := func(answer contract.Response) {
			if given || over {
				return
			}
			given = true
			if tries++; take(answer.Status, node) {
				over = true
				return
			}
			world.After(pause, func() { send(next) })
		}
		world.After(answerTime, func() { end(contract.Response{}) })
		world.post(from, node.place(), func() {
			if !node.up() {
				world.post(node.place(), from, func() { end(contract.Response{}) })
				return
			}
			own := ask
			if ask.Verb == contract.VerbDrain || ask.Verb == contract.VerbUndrain {
				own.Operation = fmt.Sprintf("%s-%d", ask.Verb, world.random.Uint64())
			}
			node.control.ask(own, func(answer contract.Response) { world.post(node.place(), from, func() { end(answer) }) })
		})
	}
	send(firstPause)
}

// whenFree runs a change after the one before it has its answer.
func (operator *operator) whenFree(change func(done func())) {
	operator.next = append(operator.next, func() {
		change(func() {
			operator.busy = false
			operator.advance()
		})
	})
	operator.advance()
}

func (operator *operator) advance() {
	if operator.busy || operator.rests || len(operator.next) == 0 {
		return
	}
	operator.busy = true
	first := operator.next[0]
	operator.next = operator.next[1:]
	first()
}

// evacuate empties a zone or takes that back; the order is sent again for a limited time.
func (operator *operator) evacuate(zone string, off bool, then func()) {
	verb, world := contract.VerbDrain, operator.day.world
	if off {
		verb = contract.VerbUndrain
	}
	order := &rules.Evacuation{Zone: zone, Cancel: off, Sent: world.Now}
	operator.day.record.Evacuations = append(operator.day.record.Evacuations, order)
	operator.order(contract.OperatorRequest{Verb: verb, Subject: zone, ReplyOnCommit: true}, world.Now+operator.day.record.Bounds.Ack*2, func(status int, machine *machine) bool {
		if status != 200 && status != 202 {
			return status/100 == 4
		}
		order.Acknowledged, order.AcknowledgedAt, order.Ended = true, world.Now, world.Now
		operator.acknowledged(machine)
		if then != nil {
			then()
		}
		return true
	})
}

const readPause = 500 * time.Millisecond

// readBack asks for the configuration again and again until a moment. No change begins any more, and the one that is under way is
// waited for: what is acknowledged later than it is read says nothing about the reading.
func (operator *operator) readBack(until time.Duration) {
	world := operator.day.world
	operator.rests = true
	from := place{"operator", operator.day.site.Zones[0].Name, operator.day.site.Zones[0].Region, true}
	var read func()
	read = func() {
		if world.Now >= until {
			return
		}
		world.After(readPause, read)
		if operator.busy {
			return
		}
		nodes := operator.day.operable()
		node := nodes[operator.random.IntN(len(nodes))]
		world.post(from, node.place(), func() {
			if node.up() {
				node.control.ask(contract.OperatorRequest{Verb: contract.VerbGet}, func(answer contract.Response) {
					world.post(node.place(), from, func() { operator.took(answer) })
				})
			}
		})
	}
	read()
}

func (operator *operator) took(answer contract.Response) {
	if answer.Status != 200 {
		return
	}
	var version struct {
		Manifest map[string]any `json:"manifest"`
	}
	if json.Unmarshal(content(answer.Body), &version) != nil {
		return
	}
	section, _ := version.Manifest["gateway"].(map[string]any)
	number, _ := section["revision"].(float64)
	read := rules.ReadBack{At: operator.day.world.Now, Number: int64(number)}
	if meant := operator.sent[read.Number]; meant != nil {
		read.Same = same(section["routes"], meant.routes) && same(section["services"], meant.services) && same(section["limits"], meant.limits) &&
			(len(meant.tenants) == 0 || same(section["tenants"], meant.tenants))
	}
	operator.day.record.ReadBacks = append(operator.day.record.ReadBacks, read)
}

// same compares what was read with what was sent, as JSON.
func same(read any, meant map[string]any) bool {
	var plain any
	if json.Unmarshal(content(meant), &plain) != nil {
		return false
	}
	return slices.Equal(content(read), content(plain))
}

// spares gives the routes that no class uses, in the newest version that the operator knows.
func (operator *operator) spares() []string {
	names := []string{}
	for _, route := range manifest.SortedKeys(operator.current.routes) {
		if len(route) > 6 && route[:6] == "spare-" {
			names = append(names, route)
		}
	}
	return names
}
