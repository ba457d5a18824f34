package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/emulator/rules"
	"github.com/cedarreel/cedarreel/engine"
)

// client is one of the callers of a zone. It looks nodes up, uses the answer for the look-up's life, and reuses connections or opens
// new ones. Aggressive clients make more attempts and ignore the retry time that a node names.
type client struct {
	day               *Day
	name              string
	zone              string
	region            string
	key               string
	random            *rand.Rand
	reusesConnections bool
	aggressive        bool
	lookupLife        time.Duration
	addresses         []string
	lookupExpires     time.Duration
	lookingUp         bool
	idle              []*idleConnection
	avoidUntil        map[string]time.Duration
	waiting           []func()
	// stays says that the client uses one machine, stayAddress, until that is gone, whatever a look-up says.
	stays       bool
	stayAddress string
}

type idleConnection struct {
	conn    *conn
	address string
	used    time.Duration
}

const (
	lookupTimeout           = time.Second
	maxLookupNodes          = 3
	longLifeEvery           = 4
	aggressiveEvery         = 6
	stayingEvery            = 4
	aggressiveExtraAttempts = 3
	longLifeFactor          = 3
	avoidTime               = 2 * time.Second
	lookupRetryPause        = 300 * time.Millisecond
	connectTimeout          = time.Second
	clientIdleTimeout       = 3 * time.Second
	maxIdlePerClient        = 16
)

func (client *client) place() location {
	return location{"callers-" + client.zone, client.zone, client.region, true}
}

// lookUp asks nodes for addresses, near ones first, up to maxLookupNodes one after the other.
func (client *client) lookUp() {
	if client.lookingUp {
		return
	}
	client.lookingUp = true
	targets := client.day.listedMachines()
	client.random.Shuffle(len(targets), func(left, right int) { targets[left], targets[right] = targets[right], targets[left] })
	distance := func(machine *machine) int {
		switch {
		case machine.zone == client.zone:
			return 0
		case machine.region == client.region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(targets, func(left, right *machine) int { return distance(left) - distance(right) })
	client.lookUpFrom(targets[:min(maxLookupNodes, len(targets))])
}

func (client *client) lookUpFrom(targets []*machine) {
	world := client.day.world
	if len(targets) == 0 {
		world.After(lookupRetryPause, func() {
			client.lookingUp = false
			client.lookUp()
		})
		return
	}
	target, given := targets[0], false
	end := func(addresses []string) {
		if given {
			return
		}
		given = true
		if len(addresses) == 0 {
			client.lookUpFrom(targets[1:])
			return
		}
		client.setAddresses(addresses)
	}
	world.After(lookupTimeout, func() { end(nil) })
	world.sendMessage(client.place(), target.place(), func() {
		if !target.up() {
			world.sendMessage(target.place(), client.place(), func() { end(nil) })
			return
		}
		target.data.lookup(client.region, client.zone, func(addresses []string) {
			world.sendMessage(target.place(), client.place(), func() { end(addresses) })
		})
	})
}

func (client *client) setAddresses(addresses []string) {
	client.lookingUp, client.addresses = false, addresses
	client.lookupExpires = client.day.world.Now + client.lookupLife
	client.idle = slices.DeleteFunc(client.idle, func(one *idleConnection) bool {
		if client.day.keepsConnections || slices.Contains(addresses, one.address) {
			return false
		}
		one.conn.close(dialer)
		return true
	})
	waiting := client.waiting
	client.waiting = nil
	for _, then := range waiting {
		then()
	}
}

// withAddresses calls then once addresses are known, and looks them up again when they have expired.
func (client *client) withAddresses(then func()) {
	if client.day.world.Now >= client.lookupExpires {
		client.lookUp()
	}
	if len(client.addresses) == 0 {
		client.waiting = append(client.waiting, then)
		return
	}
	then()
}

func (client *client) chooseAddress() string {
	if machine := client.day.machineAt(client.stayAddress); client.stays && machine != nil && !machine.removed {
		return client.stayAddress
	}
	client.stayAddress = client.drawAddress()
	return client.stayAddress
}

// drawAddress draws one of the addresses, preferably one that has not failed recently.
func (client *client) drawAddress() string {
	now := client.day.world.Now
	open := slices.DeleteFunc(slices.Clone(client.addresses), func(address string) bool { return client.avoidUntil[address] > now })
	if len(open) == 0 {
		open = client.addresses
	}
	return open[client.random.IntN(len(open))]
}

func (client *client) avoid(address string) {
	client.avoidUntil[address] = client.day.world.Now + avoidTime
}

// withConnection gives an idle connection or a new one, nil if the node doesn't answer.
func (client *client) withConnection(fresh bool, then func(opened *conn, address string)) {
	for client.reusesConnections && !fresh && len(client.idle) > 0 {
		last := client.idle[len(client.idle)-1]
		client.idle = client.idle[:len(client.idle)-1]
		if last.conn.open[dialer] && (client.day.keepsConnections || client.day.world.Now-last.used < clientIdleTimeout) {
			then(last.conn, last.address)
			return
		}
		last.conn.close(dialer)
	}
	address := client.chooseAddress()
	client.day.connect(client.place(), address, then)
}

// connect opens a connection to the node at an address.
func (day *Day) connect(from location, address string, then func(opened *conn, address string)) {
	machine := day.machineAt(address)
	accept, to := func(*conn) bool { return false }, location{name: address, zone: from.zone, region: from.region}
	if machine != nil {
		to = machine.place()
		accept = func(conn *conn) bool { return machine.data != nil && machine.data.accept(conn) }
	}
	day.world.dial(from, to, connectTimeout, accept, func(opened *conn) { then(opened, address) })
}

func (client *client) release(opened *conn, address string) {
	if !client.reusesConnections || len(client.idle) >= maxIdlePerClient || !opened.open[dialer] {
		opened.close(dialer)
		return
	}
	opened.onClose[dialer] = nil
	client.idle = append(client.idle, &idleConnection{opened, address, client.day.world.Now})
}

// call is what a client wants: one attempt, and further ones where a retry is allowed.
type call struct {
	*Figure
	day          *Day
	client       *client
	class        *Class
	route        string
	key          string
	prompt       engine.Prompt
	work         time.Duration
	pieces       int
	startedAt    time.Duration
	deadline     time.Duration
	attemptsLeft int
	lastPiece    int
	lastPieceAt  time.Duration
	// machine is the only machine to call, nil to use the client's look-up; probes set it.
	machine *machine
}

// startTraffic starts the callers of each zone at a varying rate. What they ask is drawn from random sources of its own, so that it
// doesn't depend on the product's behaviour.
func (day *Day) startTraffic(from, until time.Duration) {
	for _, source := range day.site.Traffic {
		clients := []*client{}
		for index := range max(1, source.Callers) {
			created := &client{day: day, name: source.Zone + twoDigits(index), zone: source.Zone, region: day.site.region(source.Zone),
				random: day.world.randomSource("visitor " + source.Zone + twoDigits(index)), avoidUntil: map[string]time.Duration{}, reusesConnections: index%3 > 0 || day.keepsConnections, aggressive: index%aggressiveEvery == 1,
				stays: day.keepsConnections && index%stayingEvery == 2}
			created.key = day.operator.heldKey(created.random.IntN)
			created.lookupLife = seconds(day.site.Bounds.LookupLifeS) / 5
			if index%longLifeEvery == 0 {
				created.lookupLife *= longLifeFactor
			}
			clients = append(clients, created)
		}
		day.clients[source.Zone] = clients
		day.arrivals(source, from, until)
	}
}

func (day *Day) arrivals(source Source, from, until time.Duration) {
	random := day.world.randomSource("traffic " + source.Zone)
	var next func()
	next = func() {
		if day.world.Now >= until {
			return
		}
		zone := source.Zone
		if share := day.clientShifts[zone]; share.share > 0 && random.Float64() < share.share {
			zone = share.to
		}
		clump := 1
		for source.Clump > 1 && random.Float64() < 1-1/source.Clump {
			clump++
		}
		for range clump {
			day.sendRandomCall(random, zone)
		}
		rate := source.PerS / max(1, source.Clump) * day.swingFactor(source, day.world.Now-from) * day.trafficFactor()
		day.world.After(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	day.world.At(from+time.Duration(random.ExpFloat64()/source.PerS*float64(time.Second)), next)
}

// sendRandomCall draws a class and a client, and sends a call.
func (day *Day) sendRandomCall(random *rand.Rand, zone string) {
	sum := 0.0
	for index := range day.site.Classes {
		sum += day.weight(&day.site.Classes[index])
	}
	point := random.Float64() * sum
	var class *Class
	for index := range day.site.Classes {
		class = &day.site.Classes[index]
		if point -= day.weight(class); point < 0 {
			break
		}
	}
	clients := day.clients[zone]
	day.newCall(clients[random.IntN(len(clients))], class, random).send(false)
}

// newCall makes a call of a class, with its prompt and its work.
func (day *Day) newCall(client *client, class *Class, random *rand.Rand) *call {
	day.callCount++
	one := &call{day: day, client: client, class: class, route: class.Name, key: client.key, startedAt: day.world.Now, attemptsLeft: class.Tries + 1,
		deadline: day.world.Now + seconds(class.DeadlineMs/1000), work: seconds(class.WorkMs.draw(random) / 1000)}
	if client.aggressive {
		one.attemptsLeft += aggressiveExtraAttempts
	}
	one.Figure = &Figure{Class: class.Name}
	day.figures = append(day.figures, one.Figure)
	if class.Pieces.Mean > 0 {
		one.pieces = max(1, int(class.Pieces.draw(random)))
		one.prompt = day.prompt(class, random, one.pieces)
	}
	return one
}

// prompt draws a variant of the shared parts; part lengths depend only on the part's identity.
func (day *Day) prompt(class *Class, random *rand.Rand, pieces int) engine.Prompt {
	prompt := engine.Prompt{Model: "m"}
	kinds := make([]int, len(class.Parts))
	for level, part := range class.Parts {
		kinds[level] = random.IntN(part.Kinds)
	}
	for level, part := range class.Parts {
		kind := kinds[len(kinds)-1] % part.Kinds
		id := class.Name + "-" + twoDigits(level) + "-" + twoDigits(kind)
		drawn := day.world.randomSource(id)
		prompt.Parts = append(prompt.Parts, engine.Part{ID: id, Tokens: max(1, int64(part.Tokens.draw(drawn)))})
	}
	prompt.Parts = append(prompt.Parts, engine.Part{ID: "own-" + twoDigits(int(day.callCount)), Tokens: max(1, int64(class.Tokens.draw(random)))})
	for _, part := range prompt.Parts {
		prompt.Input += part.Tokens
	}
	prompt.Output = int64(pieces * day.site.service(class.Service).Engine.Stride)
	return prompt
}

func (call *call) newAttempt() *rules.Attempt {
	class, day := call.class, call.day
	day.attemptCount++
	return &rules.Attempt{Identity: "t" + twoDigits(int(day.attemptCount)), Call: "", Class: class.Name, Route: call.route, Service: class.Service, Kind: class.Kind,
		Zone: call.client.zone, Region: call.client.region, Repeatable: class.Kind == "read_only" || class.Resumable, Resumable: class.Resumable,
		Stream: class.Kind == "streaming", Regions: class.Regions, TotalPieces: call.pieces, Deadline: call.deadline, ResumeAfter: call.lastPiece, Key: call.key}
}
