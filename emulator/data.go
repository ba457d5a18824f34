package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/manifest"
)

// dataShell carries out what the two owners in a data process want: one follows feed and lists, the other has the calls.
type dataShell struct {
	*process
	settings  env.Env
	traffic   *gateway.Router
	pool      map[string][]*pooled
	token     int64
	answers   map[int64]func(contract.Response)
	callers   map[*conn]func()
	servers   map[*conn]bool
	exchanges int
	leaving   bool
	shut      bool
	touched   time.Duration
	listed    map[string]gateway.ServersListed
}

func newDataShell(machine *machine, settings env.Env) *dataShell {
	shell := &dataShell{settings: settings, traffic: gateway.NewRouter(settings, machine.random()), pool: map[string][]*pooled{}, answers: map[int64]func(contract.Response){},
		callers: map[*conn]func(){}, servers: map[*conn]bool{}, listed: map[string]gateway.ServersListed{}}
	shell.process = machine.process(contract.KindData, gateway.NewNode(settings, machine.boot(), shell.traffic, machine.random()))
	shell.perform = shell.act
	shell.sweep()
	return shell
}

func (shell *dataShell) act(command contract.Command) bool {
	switch command := command.(type) {
	case gateway.Update:
		if listed, fine := command.Event.(gateway.ServersListed); fine {
			shell.day.told(shell.machine, listed)
			shell.listed[listed.Region] = listed
			command.Event = shell.day.foretold(listed)
		}
		if event := command.Event; shell.day.sieve == nil || shell.day.sieve(shell.machine, &event) {
			shell.traffic.Handle(shell.now(), event)
		}
	case contract.Forward:
		forward(shell.process, command, func(answer contract.Response) { shell.act(answer) })
	case contract.Response:
		take := shell.answers[command.Token]
		delete(shell.answers, command.Token)
		if take != nil {
			take(command)
		}
	default:
		return false
	}
	return true
}

// decide gives the one command that the owner of the calls answers with.
func (shell *dataShell) decide(event contract.Event) contract.Command {
	commands := shell.traffic.Handle(shell.now(), event)
	if len(commands) != 1 {
		panic("an event of a call wants one command")
	}
	return commands[0]
}

func (shell *dataShell) ready() bool { return shell.traffic.Ready(shell.now()) && !shell.leaving }

// lookup answers a caller that asks where to go, with the machines' addresses.
func (shell *dataShell) lookup(region, zone string, take func([]string)) {
	shell.Run(func() {
		shell.token++
		shell.answers[shell.token] = func(answer contract.Response) {
			found := answer.Body.(gateway.Addresses)
			take(found.Addresses)
		}
		shell.handle(gateway.Lookup{Token: shell.token, Region: region, Zone: zone})
	})
}

// ask puts a question about a prompt's place and goes on after its patience; a late answer serves later calls.
func (shell *dataShell) ask(asked gateway.PlaceQuery, take func(gateway.PlaceAnswer)) {
	shell.token++
	token, over := shell.token, false
	end := func(placed gateway.PlaceAnswer) {
		if !over {
			over = true
			take(placed)
		}
	}
	shell.answers[token] = func(answer contract.Response) {
		place, fine := answer.Body.(index.Placement)
		if fine {
			shell.traffic.Handle(shell.now(), gateway.PlacesMoved{Places: []index.Placement{place}})
		}
		end(gateway.PlaceAnswer{Token: asked.Token, Place: place, TimedOut: !fine && !gateway.IsRefusalStatus(answer.Status)})
	}
	shell.after(asked.Timeout, func() { end(gateway.PlaceAnswer{Token: asked.Token, TimedOut: true}) })
	shell.handle(gateway.AskPlace{Token: token, Ask: asked.Ask})
}

const (
	leaveParts = 80
	endParts   = 8
)

// leave steers callers away first, then lets what runs come to its end within the grace.
func (shell *dataShell) leave(then func()) {
	shell.leaving = true
	shell.event(gateway.Leave{})
	grace, life, began := shell.settings.Gateway.Grace, shell.settings.Gateway.LookupLife, shell.now()
	var look func()
	look = func() {
		passed := shell.now() - began
		quiet := shell.now() - shell.touched
		if shell.shut = shell.shut || passed >= grace*(endParts-1)/endParts || passed > life*2 && shell.exchanges == 0 && quiet > life; shell.shut && shell.exchanges == 0 {
			then()
			return
		}
		shell.after(grace/leaveParts, look)
	}
	shell.after(grace/leaveParts, look)
}

// reset ends every connection so that the other end hears of it; vanish does so without a word.
func (shell *dataShell) reset() {
	for _, conn := range shell.connections() {
		conn.close(shell.side(conn))
	}
}

func (shell *dataShell) vanish() {
	for _, conn := range shell.connections() {
		conn.lose(shell.side(conn))
	}
}

func (shell *dataShell) side(conn *conn) int {
	if _, caller := shell.callers[conn]; caller {
		return far
	}
	return near
}

func (shell *dataShell) connections() []*conn {
	all := slices.Collect(maps.Keys(shell.callers))
	all = append(all, slices.Collect(maps.Keys(shell.servers))...)
	slices.SortFunc(all, func(left, right *conn) int { return int(left.number - right.number) })
	return all
}

// pooled is a connection to a server that waits for its next call.
type pooled struct {
	conn *conn
	used time.Duration
	life time.Duration
}

const idlePerServer = 64

func (shell *dataShell) take(address string, idle time.Duration) *conn {
	for kept := shell.pool[address]; len(kept) > 0; kept = shell.pool[address] {
		last := kept[len(kept)-1]
		shell.pool[address] = kept[:len(kept)-1]
		if shell.now()-last.used > min(idle, last.life) || !last.conn.live[near] {
			shell.drop(last.conn)
			continue
		}
		return last.conn
	}
	return nil
}

func (shell *dataShell) keep(address string, conn *conn, told time.Duration) {
	life := shell.settings.Gateway.Contact * 2
	if told > 0 {
		life = min(life, told/2)
	}
	if len(shell.pool[address]) >= idlePerServer || !conn.live[near] {
		shell.drop(conn)
		return
	}
	conn.closed[near] = nil
	shell.pool[address] = append(shell.pool[address], &pooled{conn, shell.now(), life})
}

func (shell *dataShell) drop(conn *conn) {
	conn.close(near)
	delete(shell.servers, conn)
}

func (shell *dataShell) sweep() {
	shell.after(shell.settings.Gateway.Contact, func() {
		for _, address := range manifest.SortedKeys(shell.pool) {
			kept := shell.pool[address]
			left := kept[:0]
			for _, one := range kept {
				if shell.now()-one.used > one.life {
					shell.drop(one.conn)
					continue
				}
				left = append(left, one)
			}
			shell.pool[address] = left
		}
		shell.sweep()
	})
}
