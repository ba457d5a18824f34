package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/admission"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/manifest"
)

// dataProcess carries out the commands of the two state machines in a data process: the node follows the feed and the lists, the
// router decides on calls.
type dataProcess struct {
	*process
	settings        env.Env
	traffic         *gateway.Router
	idleServers     map[string][]*pooledConn
	token           int64
	pending         map[int64]func(contract.Response)
	clientConns     map[*conn]func()
	serverConns     map[*conn]bool
	leaving         bool
	closedToClients bool
	listed          map[string]gateway.ServersListed
	// admission is the machine's admission of clients, admitted the connections that it knows.
	admission *admission.State
	admitted  map[admission.ConnID]*conn
	// arriving holds the connections whose opening or request the admission is being asked about.
	arriving map[*conn]bool
}

func newDataProcess(machine *machine, settings env.Env) *dataProcess {
	data := &dataProcess{settings: settings, traffic: gateway.NewRouter(settings, machine.random()), idleServers: map[string][]*pooledConn{}, pending: map[int64]func(contract.Response){},
		clientConns: map[*conn]func(){}, serverConns: map[*conn]bool{}, listed: map[string]gateway.ServersListed{}}
	data.process = machine.process(contract.KindData, gateway.NewNode(settings, machine.boot(), data.traffic, machine.random()))
	data.perform = data.execute
	data.admission = admission.New(admission.GatewayBudget(settings.MemoryBytes, settings.OpenFiles), admission.DefaultLimits(settings))
	data.admitted, data.arriving = map[admission.ConnID]*conn{}, map[*conn]bool{}
	data.closeExpired()
	data.tickAdmission()
	return data
}

func (data *dataProcess) execute(command contract.Command) bool {
	switch command := command.(type) {
	case gateway.Update:
		if listed, valid := command.Event.(gateway.ServersListed); valid {
			data.day.observeResets(data.machine, listed)
			data.listed[listed.Region] = listed
			command.Event = data.day.withOracleResets(listed)
		}
		if event := command.Event; data.day.eventFilter == nil || data.day.eventFilter(data.machine, &event) {
			data.traffic.Handle(data.now(), event)
		}
		data.admit(admission.LimitsChanged{Class: admission.Callers, Limits: admission.CallerLimits(data.settings, data.traffic.Limits())})
	case contract.Forward:
		forwardRequest(data.process, command, func(answer contract.Response) { data.execute(answer) })
	case contract.Response:
		take := data.pending[command.Token]
		delete(data.pending, command.Token)
		if take != nil {
			take(command)
		}
	default:
		return false
	}
	return true
}

// decide passes an event of a call to the router, which must answer with exactly one command.
func (data *dataProcess) decide(event contract.Event) contract.Command {
	commands := data.traffic.Handle(data.now(), event)
	if len(commands) != 1 {
		panic("an event of a call wants one command")
	}
	return commands[0]
}

func (data *dataProcess) ready() bool { return data.traffic.Ready(data.now()) && !data.leaving }

// lookup answers a client's look-up with the addresses of machines.
func (data *dataProcess) lookup(region, zone string, take func([]string)) {
	data.Run(func() {
		data.token++
		data.pending[data.token] = func(answer contract.Response) {
			found := answer.Body.(gateway.Addresses)
			take(found.Addresses)
		}
		data.handle(gateway.Lookup{Token: data.token, Region: region, Zone: zone})
	})
}

// queryPlace asks where a prompt is cached and goes on without an answer after the timeout; a late answer is used for later calls.
func (data *dataProcess) queryPlace(asked gateway.PlaceQuery, take func(gateway.PlaceAnswer)) {
	data.token++
	token, over := data.token, false
	end := func(placed gateway.PlaceAnswer) {
		if !over {
			over = true
			take(placed)
		}
	}
	data.pending[token] = func(answer contract.Response) {
		place, valid := answer.Body.(index.Placement)
		if valid {
			data.traffic.Handle(data.now(), gateway.PlacesMoved{Places: []index.Placement{place}})
		}
		end(gateway.PlaceAnswer{Token: asked.Token, Place: place, TimedOut: !valid && !gateway.IsRefusalStatus(answer.Status)})
	}
	data.after(asked.Timeout, func() { end(gateway.PlaceAnswer{Token: asked.Token, TimedOut: true}) })
	data.handle(gateway.AskPlace{Token: token, Ask: asked.Ask})
}

// leave stops the process as the router decides, and calls then when its traffic has ended.
func (data *dataProcess) leave(then func()) {
	data.stopStep(gateway.StopRequested{}, then)
}

// stopStep carries out what the router decides about a stop, and ticks until the traffic has ended.
func (data *dataProcess) stopStep(event contract.Event, then func()) {
	for _, command := range data.traffic.Handle(data.now(), event) {
		switch command := command.(type) {
		case gateway.LeaveFleet:
			data.leaving = true
			data.event(gateway.Leave{})
		case gateway.CloseToCallers:
			data.closedToClients = true
			data.closeIdleClients()
		case gateway.EndTraffic:
			then()
			return
		case contract.Log:
			data.day.logEvent(data.machine.name+"-"+data.kind, command.Message, command.Attributes...)
		default:
			panic("a command of a stop that nobody carries out")
		}
	}
	data.after(gateway.ShutdownTick(data.settings.Gateway), func() { data.stopStep(contract.Tick{}, then) })
}

// closeIdleClients closes the connections of clients that wait for a request.
func (data *dataProcess) closeIdleClients() {
	for _, conn := range data.connections() {
		if clientLeft, found := data.clientConns[conn]; found && clientLeft == nil {
			data.closeClient(conn)
		}
	}
}

// closeConnections closes every connection so that the other end is notified; dropConnections does so without notice.
func (data *dataProcess) closeConnections() {
	for _, conn := range data.connections() {
		conn.close(data.ownSide(conn))
	}
}

func (data *dataProcess) dropConnections() {
	for _, conn := range data.connections() {
		conn.drop(data.ownSide(conn))
	}
}

func (data *dataProcess) ownSide(conn *conn) int {
	if _, caller := data.clientConns[conn]; caller {
		return acceptor
	}
	return dialer
}

func (data *dataProcess) connections() []*conn {
	all := slices.Collect(maps.Keys(data.clientConns))
	all = append(all, slices.Collect(maps.Keys(data.serverConns))...)
	slices.SortFunc(all, func(left, right *conn) int { return int(left.number - right.number) })
	return all
}

// pooledConn is an idle connection to a server.
type pooledConn struct {
	conn     *conn
	lastUsed time.Duration
	maxIdle  time.Duration
}

const idlePerServer = 64

func (data *dataProcess) takeIdle(address string, idle time.Duration) *conn {
	for kept := data.idleServers[address]; len(kept) > 0; kept = data.idleServers[address] {
		last := kept[len(kept)-1]
		data.idleServers[address] = kept[:len(kept)-1]
		if data.now()-last.lastUsed > min(idle, last.maxIdle) || !last.conn.open[dialer] {
			data.closeServer(last.conn)
			continue
		}
		return last.conn
	}
	return nil
}

func (data *dataProcess) putIdle(address string, conn *conn, told time.Duration) {
	life := data.settings.Gateway.Contact * 2
	if told > 0 {
		life = min(life, told/2)
	}
	if len(data.idleServers[address]) >= idlePerServer || !conn.open[dialer] {
		data.closeServer(conn)
		return
	}
	conn.onClose[dialer] = nil
	data.idleServers[address] = append(data.idleServers[address], &pooledConn{conn, data.now(), life})
}

func (data *dataProcess) closeServer(conn *conn) {
	conn.close(dialer)
	delete(data.serverConns, conn)
}

func (data *dataProcess) closeExpired() {
	data.after(data.settings.Gateway.Contact, func() {
		for _, address := range manifest.SortedKeys(data.idleServers) {
			kept := data.idleServers[address]
			left := kept[:0]
			for _, one := range kept {
				if data.now()-one.lastUsed > one.maxIdle {
					data.closeServer(one.conn)
					continue
				}
				left = append(left, one)
			}
			data.idleServers[address] = left
		}
		data.closeExpired()
	})
}
