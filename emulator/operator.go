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

// operator simulates the operator: it sends whole configurations and changes on top of the newest version that it knows, and repeats
// each until the answer is clear.
type operator struct {
	day            *Day
	random         *rand.Rand
	current        *configuration
	changing       bool
	stopped        bool
	pendingChanges []func()
	spareCount     int
	// keyCount is the number of API keys that were ever created.
	keyCount     int
	sentByNumber map[int64]*configuration
	highest      int64
	onAck        []func(*machine)
}

// configuration is one version together with the content that a read must return.
type configuration struct {
	*rules.Version
	routes   map[string]any
	services map[string]any
	tenants  map[string]any
	limits   map[string]any
}

const (
	firstConfigurationAt = 2 * time.Second
	answerTimeout        = time.Second
	minRetryPause        = 100 * time.Millisecond
	maxRetryPause        = time.Second
	pauseNumerator       = 3
	pauseDenominator     = 2
)

func newOperator(day *Day) *operator {
	return &operator{day: day, random: day.world.randomSource("operator"), sentByNumber: map[int64]*configuration{}}
}

// begin sends the first configuration until it is accepted.
func (operator *operator) begin() {
	first := &configuration{Version: &rules.Version{}, routes: map[string]any{}, services: map[string]any{}, limits: map[string]any{"headerBytes": 16384, "bodyBytes": 4194304}}
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
	operator.changing = true
	operator.day.world.At(firstConfigurationAt, func() {
		next, ask := operator.newVersion(first, contract.VerbReplace, nil, nil)
		operator.send(next, ask, func() {
			operator.changing = false
			operator.startNextChange()
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

// plainClass gives the class whose calls spare routes take.
func (operator *operator) plainClass() Class {
	for _, class := range operator.day.site.Classes {
		if class.Pieces.Mean == 0 {
			return class
		}
	}
	return operator.day.site.Classes[0]
}

func (operator *operator) addSpare(to *configuration) string {
	operator.spareCount++
	added := "spare-" + twoDigits(operator.spareCount)
	to.routes[added] = operator.route(added, operator.plainClass())
	return added
}

func (operator *operator) copy() *configuration {
	return &configuration{Version: &rules.Version{}, routes: maps.Clone(operator.current.routes), services: operator.current.services,
		tenants: maps.Clone(operator.current.tenants), limits: operator.current.limits}
}

// newVersion numbers a configuration on top of the current one and builds the request that sends it.
func (operator *operator) newVersion(next *configuration, verb string, upsert, remove []string) (*configuration, contract.OperatorRequest) {
	operator.highest += 1 + int64(operator.random.IntN(3))
	now := operator.day.world.Now
	next.Version = &rules.Version{Number: operator.highest, Base: operator.current.Number, Sent: now, Routes: map[string]rules.Route{}}
	for route, item := range next.routes {
		tree := item.(map[string]any)
		service, _ := tree["service"].(string)
		known := rules.Route{Services: []string{service}, AddedLater: next.Version.Base > 0 && operator.addedLater(route)}
		known.Regions, _ = tree["regions"].([]string)
		next.Routes[route] = known
	}
	next.TenantsByKey = tenantsByKey(next.tenants)
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
	body := encodeJSON(tree)
	operation := contract.Digest(append(fmt.Appendf(nil, "%s%d", verb, next.Base), body...))[:32]
	operator.day.record.Versions = append(operator.day.record.Versions, next.Version)
	operator.sentByNumber[next.Number] = next
	return next, contract.OperatorRequest{Verb: verb, BaseRevision: next.Base, HasBaseRevision: true, Body: body, Operation: operation, ReplyOnCommit: true}
}

func (operator *operator) addedLater(route string) bool {
	first := operator.day.record.Versions
	if len(first) == 0 {
		return false
	}
	_, found := first[0].Routes[route]
	return !found
}

// send sends a version to one node after the other until the answer is clear.
func (operator *operator) send(next *configuration, ask contract.OperatorRequest, then ...func()) {
	version := next.Version
	unclear := false
	operator.sendUntilAccepted(ask, 0, func(status int, machine *machine) bool {
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
			operator.day.logEvent("operator", "refused", version.Number, status)
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

// sendUntilAccepted sends a request to random nodes, again after a timeout or an unclear answer, with a growing pause, until take
// reports true or the time until (if above 0) has come.
func (operator *operator) sendUntilAccepted(ask contract.OperatorRequest, until time.Duration, take func(status int, machine *machine) bool) {
	world, over, tries := operator.day.world, false, 0
	from := location{"operator", operator.day.site.Zones[0].Name, operator.day.site.Zones[0].Region, true}
	var send func(pause time.Duration)
	send = func(pause time.Duration) {
		if over || until > 0 && world.Now >= until {
			return
		}
		nodes := operator.day.operatorTargets()
		next := min(maxRetryPause, pause*pauseNumerator/pauseDenominator)
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
		world.After(answerTimeout, func() { end(contract.Response{}) })
		world.sendMessage(from, node.place(), func() {
			if !node.up() {
				world.sendMessage(node.place(), from, func() { end(contract.Response{}) })
				return
			}
			own := ask
			if ask.Verb == contract.VerbDrain || ask.Verb == contract.VerbUndrain {
				own.Operation = fmt.Sprintf("%s-%d", ask.Verb, world.random.Uint64())
			}
			node.control.handleRequest(own, func(answer contract.Response) { world.sendMessage(node.place(), from, func() { end(answer) }) })
		})
	}
	send(minRetryPause)
}

// whenFree runs a change once the one before it has been answered.
func (operator *operator) whenFree(change func(done func())) {
	operator.pendingChanges = append(operator.pendingChanges, func() {
		change(func() {
			operator.changing = false
			operator.startNextChange()
		})
	})
	operator.startNextChange()
}

func (operator *operator) startNextChange() {
	if operator.changing || operator.stopped || len(operator.pendingChanges) == 0 {
		return
	}
	operator.changing = true
	first := operator.pendingChanges[0]
	operator.pendingChanges = operator.pendingChanges[1:]
	first()
}

// evacuate drains a zone or ends the drain; the order is repeated for a limited time.
func (operator *operator) evacuate(zone string, off bool, then func()) {
	verb, world := contract.VerbDrain, operator.day.world
	if off {
		verb = contract.VerbUndrain
	}
	order := &rules.Evacuation{Zone: zone, Cancel: off, Sent: world.Now}
	operator.day.record.Evacuations = append(operator.day.record.Evacuations, order)
	operator.sendUntilAccepted(contract.OperatorRequest{Verb: verb, Subject: zone, ReplyOnCommit: true}, world.Now+operator.day.record.Bounds.Ack*2, func(status int, machine *machine) bool {
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

const readInterval = 500 * time.Millisecond

// readBack reads the configuration repeatedly until a given time. No further change begins, and reads wait for the one under way: a
// version that is acknowledged after a read cannot be expected in it.
func (operator *operator) readBack(until time.Duration) {
	world := operator.day.world
	operator.stopped = true
	from := location{"operator", operator.day.site.Zones[0].Name, operator.day.site.Zones[0].Region, true}
	var read func()
	read = func() {
		if world.Now >= until {
			return
		}
		world.After(readInterval, read)
		if operator.changing {
			return
		}
		nodes := operator.day.operatorTargets()
		node := nodes[operator.random.IntN(len(nodes))]
		world.sendMessage(from, node.place(), func() {
			if node.up() {
				node.control.handleRequest(contract.OperatorRequest{Verb: contract.VerbGet}, func(answer contract.Response) {
					world.sendMessage(node.place(), from, func() { operator.recordReadBack(answer) })
				})
			}
		})
	}
	read()
}

func (operator *operator) recordReadBack(answer contract.Response) {
	if answer.Status != 200 {
		return
	}
	var version struct {
		Manifest map[string]any `json:"manifest"`
	}
	if json.Unmarshal(encodeJSON(answer.Body), &version) != nil {
		return
	}
	section, _ := version.Manifest["gateway"].(map[string]any)
	number, _ := section["revision"].(float64)
	read := rules.ReadBack{At: operator.day.world.Now, Number: int64(number)}
	if meant := operator.sentByNumber[read.Number]; meant != nil {
		read.Same = equalJSON(section["routes"], meant.routes) && equalJSON(section["services"], meant.services) && equalJSON(section["limits"], meant.limits) &&
			(len(meant.tenants) == 0 || equalJSON(section["tenants"], meant.tenants))
	}
	operator.day.record.ReadBacks = append(operator.day.record.ReadBacks, read)
}

// equalJSON compares what was read with what was sent, as JSON.
func equalJSON(read any, meant map[string]any) bool {
	var plain any
	if json.Unmarshal(encodeJSON(meant), &plain) != nil {
		return false
	}
	return slices.Equal(encodeJSON(read), encodeJSON(plain))
}

// spareRoutes gives the routes that no class uses, in the newest version that the operator knows.
func (operator *operator) spareRoutes() []string {
	names := []string{}
	for _, route := range manifest.SortedKeys(operator.current.routes) {
		if len(route) > 6 && route[:6] == "spare-" {
			names = append(names, route)
		}
	}
	return names
}
