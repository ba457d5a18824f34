package emulator

import (
	"slices"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/emulator/rules"
)

// list stands in for the list of servers: it is late, it takes so many questions a second, and it may be out of reach.
type list struct {
	day      *Day
	shows    []row
	asked    []time.Duration
	down     int
	Asked    int64
	Declined int64
}

// row is a server as the list tells of it from a moment on.
type row struct {
	server  *server
	from    time.Duration
	leaving bool
	gone    bool
	ends    time.Duration
}

const (
	crashStays = 3 * time.Second
)

func (list *list) place() place {
	zone := list.day.site.Zones[0]
	return place{"list", zone.Name, zone.Region, false}
}

// show makes a change visible after the list's lag.
func (list *list) show(change row) {
	lag := seconds(list.day.site.List.LagMs / 1000)
	if list.day.world.Now == 0 {
		lag = 0
	}
	change.from = list.day.world.Now + lag
	list.shows = append(list.shows, change)
	if change.leaving || change.gone {
		list.day.record.Departures = append(list.day.record.Departures, rules.Departure{Server: change.server.name, ListedAt: change.from})
	}
}

func (list *list) crashed(server *server) {
	list.day.world.After(crashStays, func() { list.show(row{server: server, gone: true}) })
}

// page gives a part of the list, and whether more follows.
func (list *list) page(number int) ([]contract.ListedServer, bool, bool) {
	now, site := list.day.world.Now, list.day.site
	list.asked = slices.DeleteFunc(list.asked, func(at time.Duration) bool { return at <= now-time.Second })
	if list.down > 0 || float64(len(list.asked)) >= site.List.PerS {
		list.Declined++
		return nil, false, false
	}
	list.Asked++
	list.asked = append(list.asked, now)
	rows := list.rows(now)
	first, last := number*site.List.Page, (number+1)*site.List.Page
	if first >= len(rows) {
		return nil, false, true
	}
	return rows[first:min(last, len(rows))], last < len(rows), true
}

func (list *list) rows(now time.Duration) []contract.ListedServer {
	newest := map[*server]row{}
	for _, change := range list.shows {
		if change.from <= now {
			newest[change.server] = change
		}
	}
	rows := []contract.ListedServer{}
	for server, change := range newest {
		if change.gone {
			continue
		}
		row := contract.ListedServer{Name: server.name, Incarnation: server.name, Address: server.address, Zone: server.zone, Region: server.region,
			Pool: server.service.Name, Leaving: change.leaving, AssumedReady: true}
		if change.ends > 0 {
			row.RemainingMs = max(1, (change.ends - now).Milliseconds())
		}
		if seen := now - seconds(list.day.site.List.LagMs/1000); server.coldUntil > seen {
			row.WarmupMs = (server.coldUntil - seen).Milliseconds()
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(left, right contract.ListedServer) int { return strings.Compare(left.Name, right.Name) })
	return rows
}

// place a new server; at the start of the day it is warm.
func (day *Day) addServer(service Service, zone string) *server {
	day.started[service.Name]++
	number := day.started[service.Name]
	speed := 1.0
	if len(service.Speeds) > 0 {
		speed = service.Speeds[(number-1)%len(service.Speeds)]
	}
	made := &server{day: day, name: service.Name + "-" + name(number), address: day.address(service.Name), service: service, zone: zone, region: day.site.region(zone),
		speed: speed, up: true, conns: map[*conn]time.Duration{}, jobs: map[*conn]*task{}}
	if service.Engine != nil {
		made.batch = newBatch(made, service.Engine)
	}
	if day.world.Now > 0 {
		made.coldUntil = day.world.Now + seconds(service.ColdS)
	}
	day.servers[made.name] = made
	day.byAddress[made.address] = made
	day.order = append(day.order, made)
	day.list.show(row{server: made})
	return made
}

// depart makes a server leave: it is listed as draining, and ends after a span.
func (server *server) depart(span time.Duration, told bool) {
	if !server.up || server.leaving {
		return
	}
	server.leaving = true
	server.ends = server.day.world.Now + span
	shown := row{server: server, leaving: true}
	if told {
		shown.ends = server.ends
	}
	server.day.list.show(shown)
	server.day.world.After(span, server.vanish)
}

// vanish ends a server that left; its address is free for others after a while.
func (server *server) vanish() {
	if server.up {
		server.crash()
	}
	day := server.day
	day.list.show(row{server: server, gone: true})
	day.world.After(seconds(day.site.Bounds.ReuseS), func() { day.free = append(day.free, server.address) })
}
