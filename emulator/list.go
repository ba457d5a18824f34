package emulator

import (
	"slices"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/emulator/rules"
)

// serverList simulates the platform's list of servers: it lags, limits requests per second, and may be unavailable.
type serverList struct {
	day            *Day
	changes        []listChange
	recentRequests []time.Duration
	outages        int
	Asked          int64
	Declined       int64
}

// listChange is a server as the list shows it from a given time on.
type listChange struct {
	server    *server
	visibleAt time.Duration
	leaving   bool
	gone      bool
	endsAt    time.Duration
}

const (
	crashListedTime = 3 * time.Second
)

func (list *serverList) place() location {
	zone := list.day.site.Zones[0]
	return location{"list", zone.Name, zone.Region, false}
}

// publish makes a change visible after the list's lag.
func (list *serverList) publish(change listChange) {
	lag := seconds(list.day.site.List.LagMs / 1000)
	if list.day.world.Now == 0 {
		lag = 0
	}
	change.visibleAt = list.day.world.Now + lag
	list.changes = append(list.changes, change)
	if change.leaving || change.gone {
		list.day.record.Departures = append(list.day.record.Departures, rules.Departure{Server: change.server.name, ListedAt: change.visibleAt})
	}
}

func (list *serverList) crashed(server *server) {
	list.day.world.After(crashListedTime, func() { list.publish(listChange{server: server, gone: true}) })
}

// page gives one page of the list, whether more follow, and whether the request was accepted.
func (list *serverList) page(number int) ([]contract.ListedServer, bool, bool) {
	now, site := list.day.world.Now, list.day.site
	list.recentRequests = slices.DeleteFunc(list.recentRequests, func(at time.Duration) bool { return at <= now-time.Second })
	if list.outages > 0 || float64(len(list.recentRequests)) >= site.List.PerS {
		list.Declined++
		return nil, false, false
	}
	list.Asked++
	list.recentRequests = append(list.recentRequests, now)
	rows := list.rows(now)
	first, last := number*site.List.Page, (number+1)*site.List.Page
	if first >= len(rows) {
		return nil, false, true
	}
	return rows[first:min(last, len(rows))], last < len(rows), true
}

func (list *serverList) rows(now time.Duration) []contract.ListedServer {
	newest := map[*server]listChange{}
	for _, change := range list.changes {
		if change.visibleAt <= now {
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
		if change.endsAt > 0 {
			row.RemainingMs = max(1, (change.endsAt - now).Milliseconds())
		}
		if seen := now - seconds(list.day.site.List.LagMs/1000); server.coldUntil > seen {
			row.WarmupMs = (server.coldUntil - seen).Milliseconds()
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(left, right contract.ListedServer) int { return strings.Compare(left.Name, right.Name) })
	return rows
}

// addServer starts a server; those that start with the day are warm.
func (day *Day) addServer(service Service, zone string) *server {
	day.started[service.Name]++
	number := day.started[service.Name]
	speed := 1.0
	if len(service.Speeds) > 0 {
		speed = service.Speeds[(number-1)%len(service.Speeds)]
	}
	created := &server{day: day, name: service.Name + "-" + twoDigits(number), address: day.address(service.Name), service: service, zone: zone, region: day.site.region(zone),
		speed: speed, up: true, conns: map[*conn]time.Duration{}, jobs: map[*conn]*task{}}
	if service.Engine != nil {
		created.batch = newBatch(created, service.Engine)
	}
	if day.world.Now > 0 {
		created.coldUntil = day.world.Now + seconds(service.ColdS)
	}
	day.servers[created.name] = created
	day.byAddress[created.address] = created
	day.serversInOrder = append(day.serversInOrder, created)
	day.list.publish(listChange{server: created})
	return created
}

// leave lists the server as draining and ends it after a span, which the list shows if told.
func (server *server) leave(span time.Duration, told bool) {
	if !server.up || server.leaving {
		return
	}
	server.leaving = true
	server.endsAt = server.day.world.Now + span
	shown := listChange{server: server, leaving: true}
	if told {
		shown.endsAt = server.endsAt
	}
	server.day.list.publish(shown)
	server.day.world.After(span, server.terminate)
}

// terminate ends a server that left; its address can be reused after a while.
func (server *server) terminate() {
	if server.up {
		server.crash()
	}
	day := server.day
	day.list.publish(listChange{server: server, gone: true})
	day.world.After(seconds(day.site.Bounds.ReuseS), func() { day.freeAddresses = append(day.freeAddresses, server.address) })
}
