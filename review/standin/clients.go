package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// clients is the stand-in for the clients of all zones. Each asks the directory and sends requests at a steady rate.
type clients struct {
	fleet    *fleet
	http     *http.Client
	lock     sync.Mutex
	sentTo   map[string]*machine
	refused  []refusal
	number   int
	stopOnce sync.Once
	stopped  chan struct{}
	group    sync.WaitGroup
}

// refusal is a refused request that cannot be repeated.
type refusal struct {
	at      time.Duration
	id      string
	machine *machine
	status  int
}

// Rates of the clients of one zone.
const (
	chatInterval    = 20 * time.Millisecond
	statusInterval  = 100 * time.Millisecond
	verdictInterval = 50 * time.Millisecond
)

func newClients(fleet *fleet) *clients {
	return &clients{fleet: fleet, sentTo: map[string]*machine{}, stopped: make(chan struct{}),
		http: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 3 * time.Second}}}
}

// start starts the clients of all zones.
func (clients *clients) start() {
	clients.startRoute(chatPrefix, chatInterval)
	clients.startRoute(statusPrefix, statusInterval)
}

// startVerdicts starts clients that send streams which cannot be repeated.
func (clients *clients) startVerdicts() { clients.startRoute(verdictPrefix, verdictInterval) }

// startRoute starts the clients of one route in all zones.
func (clients *clients) startRoute(prefix string, interval time.Duration) {
	for _, zone := range zones {
		clients.group.Add(1)
		go func() {
			defer clients.group.Done()
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-clients.stopped:
					return
				case <-ticker.C:
					clients.group.Add(1)
					go func() {
						defer clients.group.Done()
						clients.request(zone.name, zone.region, prefix)
					}()
				}
			}
		}()
	}
}

// stop ends the clients.
func (clients *clients) stop() {
	clients.stopOnce.Do(func() { close(clients.stopped) })
	clients.group.Wait()
}

// lookUp asks the machines of the zone first and returns one of the frontends that the directory names.
func (clients *clients) lookUp(zone, region string) *machine {
	directory := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, near := range []bool{true, false} {
		for _, candidate := range clients.fleet.machines {
			if (candidate.zone == zone) != near {
				continue
			}
			response, err := directory.Get(fmt.Sprintf("http://%s%s?name=%s&region=%s&zone=%s", candidate.at(portRegistry), names.LookupPath, routeHost, region, zone))
			if err != nil {
				continue
			}
			var answer struct {
				Addresses []string `json:"addresses"`
			}
			err = json.NewDecoder(response.Body).Decode(&answer)
			_ = response.Body.Close()
			if err != nil || len(answer.Addresses) == 0 {
				continue
			}
			chosen := answer.Addresses[rand.IntN(len(answer.Addresses))]
			for _, machine := range clients.fleet.machines {
				if machine.at(portFrontend) == chosen {
					return machine
				}
			}
		}
	}
	return nil
}

// request sends one request, without a further try.
func (clients *clients) request(zone, region, prefix string) {
	to := clients.lookUp(zone, region)
	if to == nil {
		return
	}
	clients.lock.Lock()
	clients.number++
	number := clients.number
	id := fmt.Sprintf("%016x", number)
	clients.sentTo[id] = to
	clients.lock.Unlock()
	request, err := http.NewRequest(http.MethodPost, "http://"+to.at(portFrontend)+prefix+"2f", strings.NewReader(strings.Repeat("b", 600)))
	if err != nil {
		return
	}
	request.Host = routeHost
	request.Header.Set(names.AttemptID, id)
	request.Header.Set(names.Deadline, "4000")
	if prefix != statusPrefix {
		request.Header.Set(names.Model, "m")
		request.Header.Set(names.TokenUsage, "383,8")
		request.Header.Set(names.PromptPrefix, fmt.Sprintf("5c1e07a2:55,%08x:37,%08x:291", 0x10000+number%50, 0x20000000+number))
	}
	response, err := clients.http.Do(request)
	if err != nil {
		clients.fleet.record.line("client in %s: request %s at %s ends with %v", zone, id, to.name, err)
		return
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	switch status := response.StatusCode; status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if prefix == verdictPrefix {
			clients.lock.Lock()
			clients.refused = append(clients.refused, refusal{at: clients.fleet.record.now(), id: id, machine: to, status: status})
			clients.lock.Unlock()
		}
	}
	clients.fleet.record.line("client in %s: request %s at %s is answered %d, whole %v", zone, id, to.name, response.StatusCode, err == nil)
}

// machineOf returns the machine that a request was sent to.
func (clients *clients) machineOf(id string) *machine {
	clients.lock.Lock()
	defer clients.lock.Unlock()
	return clients.sentTo[id]
}

// refusedVerdicts returns the refused requests that cannot be repeated.
func (clients *clients) refusedVerdicts() []refusal {
	clients.lock.Lock()
	defer clients.lock.Unlock()
	return clients.refused
}
