// Package shard holds the duty of a shard's owner: it reads the platform and the reports and grants pick lists under an epoch.
package shard

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/retire"
)

const (
	MessageAsk       = "lease-request"
	MessageLease     = "lease"
	MessageNotOwner  = "lease-not-owner"
	MessageNotices   = "server-notices"
	MessageReadAsk   = "report-ask"
	MessageReadTold  = "report-told"
	MessageWithdraw  = "zone-withdraw"
	MessageWithdrawn = "zone-withdrawn"
)

type ReadPlatform struct{ Region string }

// ListingRead with a Region is for the owners of that region alone.
type ListingRead struct {
	Region  string
	Began   time.Duration
	Listing contract.Listing
	Error   string
}

// ReadReport reads a server's report; with Back it is read for the owner at that address, which asked at Asked on its own clock.
type ReadReport struct {
	Server  string        `json:"server"`
	Address string        `json:"address"`
	Back    string        `json:"back"`
	Asked   time.Duration `json:"asked"`
}

type ReportRead struct {
	Server string
	For    ReadReport
	Around bool
	retire.Outcome
}

// Order asks the platform to unload or to load a server, under the epoch of the shard's owner.
type Order struct {
	Server string
	Shard  int
	Load   bool
	Epoch  contract.Epoch
}

type Ordered struct {
	Server string
	Load   bool
	Error  string
}

type Seen struct {
	Members  []contract.Member
	Manifest manifest.Manifest
	Revision int64
}

type Withdraw struct {
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Token   int64  `json:"token"`
	Address string `json:"address"`
}

type Withdrawn struct {
	Token  int64 `json:"token"`
	Shards []int `json:"shards"`
}

type knowledge struct {
	report      contract.LoadReport
	good        bool
	sampled     time.Duration
	reading     bool
	failures    int
	incarnation string
	listedFrom  time.Duration
	rampFrom    time.Duration
	ramping     bool
	nextRead    time.Duration
	orderedAt   time.Duration
	warmUntil   time.Duration
	cache       int64
	cacheAt     time.Duration
}

type duty struct {
	index        int
	owning       bool
	firstSince   time.Duration
	epoch        contract.Epoch
	highest      contract.Epoch
	taken        time.Duration
	number       int64
	list         string
	rows         []contract.ListedServer
	numbered     int64
	words        map[string]retire.Word
	calls        map[string]map[string]int64
	lingering    map[string]map[string]int64
	shares       map[string]map[string]int64
	retirements  map[string]*retire.Retirement
	released     map[string]string
	aborted      map[string]int64
	tallies      map[string]map[string]contract.CallTally
	conditions   map[string]*condition
	observations observations
	nextJudge    time.Duration
	past         []Retired
}

type Owner struct {
	self      contract.Member
	bounds    env.Bounds
	seen      Seen
	duties    map[int]*duty
	listing   contract.Listing
	listed    bool
	listedAt  time.Duration
	polling   bool
	nextPoll  time.Duration
	servers   map[string]*knowledge
	withdrawn map[string]time.Duration
	sighted   time.Duration
	blind     bool
	turn      int
	ages      map[string]time.Duration
	nextAges  time.Duration
	shards    int
	changes   int64
	started   time.Duration
	begun     bool
	prompt    bool
	out       []contract.Command
}

func New(self contract.Member, bounds env.Bounds) *Owner {
	return &Owner{self: self, bounds: bounds, duties: map[int]*duty{}, servers: map[string]*knowledge{}, withdrawn: map[string]time.Duration{},
		ages: map[string]time.Duration{}}
}

// Prompt spares the wait for a former owner's leases: for nodes that go on by their last list whether a lease stands or not.
func (owner *Owner) Prompt(prompt bool) { owner.prompt = prompt }

func (owner *Owner) Handle(now time.Duration, event contract.Event) []contract.Command {
	if !owner.begun {
		owner.begun, owner.started = true, now
	}
	owner.out = nil
	if message, fine := event.(contract.Message); !fine || message.Kind != MessageAsk {
		owner.changes++
	}
	switch event := event.(type) {
	case Seen:
		owner.seen = event
		owner.tick(now)
	case ListingRead:
		owner.listingRead(now, event)
	case ReportRead:
		owner.reportRead(now, event)
	case Ordered:
		if event.Error != "" {
			owner.emit(contract.AddCounter{Name: "orders_refused", Delta: 1})
		}
	case contract.Message:
		owner.message(now, event)
	}
	out := owner.out
	owner.out = nil
	return out
}

func (owner *Owner) emit(commands ...contract.Command) { owner.out = append(owner.out, commands...) }

// Woke drops every duty: whoever froze may have been succeeded.
func (owner *Owner) Woke(now time.Duration) {
	for _, held := range owner.duties {
		held.owning, held.firstSince = false, -1
	}
	owner.listed, owner.polling = false, false
	for _, known := range owner.servers {
		known.reading = false
	}
}

func (owner *Owner) message(now time.Duration, message contract.Message) {
	switch message.Kind {
	case MessageAsk:
		var ask contract.LeaseRequest
		if json.Unmarshal(message.Body, &ask) == nil && ask.Region == owner.self.Region {
			owner.ask(now, ask)
		}
	case MessageAgesAsk, MessageAgesTold:
		owner.tellAges(now, message)
	case MessageReadAsk, MessageReadTold:
		owner.readFor(now, message)
	case MessageWithdraw:
		var order Withdraw
		if json.Unmarshal(message.Body, &order) == nil {
			owner.withdraw(now, order)
		}
	}
}

func (owner *Owner) first(index int) string {
	return First(owner.seen.Members, owner.self.Region, index)
}

func Subject(region string, index int) string { return fmt.Sprintf("shard/%s/%d", region, index) }

func (owner *Owner) tick(now time.Duration) {
	shards := owner.seen.Manifest.Regions[owner.self.Region].Shards
	for index := 0; index < shards; index++ {
		if _, there := owner.duties[index]; !there {
			owner.duties[index] = &duty{index: index, firstSince: -1, words: map[string]retire.Word{}, calls: map[string]map[string]int64{}, lingering: map[string]map[string]int64{},
				retirements: map[string]*retire.Retirement{}, released: map[string]string{}, aborted: map[string]int64{},
				tallies: map[string]map[string]contract.CallTally{}, conditions: map[string]*condition{}}
		}
	}
	if owner.shards != shards {
		owner.divide(now, shards)
	}
	owner.watchSight(now)
	owner.askAges(now)
	for zone, until := range owner.withdrawn {
		if now > until {
			delete(owner.withdrawn, zone)
		}
	}
	owner.poll(now)
	owned := int64(0)
	for index := 0; index < shards; index++ {
		owner.tickDuty(now, owner.duties[index])
		if owner.duties[index].owning {
			owned++
		}
	}
	owner.emit(contract.SetGauge{Name: "shards_owned", Value: owned})
}

func (owner *Owner) poll(now time.Duration) {
	if len(owner.duties) == 0 || owner.polling && now < owner.nextPoll+owner.bounds.PlatformPoll() || now < owner.nextPoll && !owner.hurried(now) {
		return
	}
	owner.polling, owner.nextPoll = true, now+owner.pollEvery()
	owner.emit(ReadPlatform{Region: owner.self.Region})
}

func (owner *Owner) listingRead(now time.Duration, event ListingRead) {
	if event.Region != "" && event.Region != owner.self.Region {
		return
	}
	owner.polling = false
	if event.Error != "" {
		owner.nextPoll = min(owner.nextPoll, now+owner.bounds.PlatformPoll())
		owner.emit(contract.AddCounter{Name: "listings_broken", Delta: 1})
		return
	}
	if owner.listed && event.Began < owner.listedAt {
		return
	}
	former := owner.listed
	if !owner.fresh(event.Began) {
		owner.sighted = event.Began
	}
	owner.listing, owner.listedAt = event.Listing, event.Began
	owner.listed = true
	present := map[string]bool{}
	for _, row := range event.Listing.Servers {
		present[row.Name] = true
		known, there := owner.servers[row.Name]
		if !there {
			known = &knowledge{incarnation: row.Incarnation, orderedAt: -owner.bounds.Return(), listedFrom: -1}
			if former {
				known.listedFrom = now
			}
			owner.servers[row.Name] = known
		}
		if known.incarnation != row.Incarnation {
			known.incarnation, known.good, known.ramping, known.failures = row.Incarnation, false, false, 0
			known.listedFrom = now
		}
		known.warmUntil = event.Began + time.Duration(row.WarmupMs)*time.Millisecond
		owner.grow(now, row.Name)
	}
	for name := range owner.servers {
		if !present[name] {
			delete(owner.servers, name)
		}
	}
}

func (owner *Owner) fresh(now time.Duration) bool {
	return owner.listed && now-owner.listedAt < owner.bounds.PlatformGrace()
}

func (owner *Owner) tickDuty(now time.Duration, held *duty) {
	if owner.first(held.index) != owner.self.Name {
		if held.owning {
			owner.emit(contract.Log{Message: "shard given up", Attributes: []any{"shard", held.index}})
		}
		held.owning, held.firstSince = false, -1
		return
	}
	if held.firstSince < 0 {
		held.firstSince = now
	}
	if !held.owning {
		settled := now-owner.started >= owner.bounds.Lease() && now-held.firstSince >= owner.bounds.Round()
		if owner.prompt {
			settled = now-held.firstSince >= owner.patience(now)
		}
		ready := settled && owner.fresh(now)
		if !ready {
			return
		}
		owner.takeOver(now, held)
	}
	owner.readReports(now, held)
	if owner.listed {
		owner.retireAll(now, held)
	}
	owner.judge(now, held)
	owner.renumber(now, held)
}

// patience is how long a prompt owner waits to hear of a former one's epoch: hardly at all where the whole fleet just started.
func (owner *Owner) patience(now time.Duration) time.Duration {
	if now-owner.started < 2*owner.bounds.Round() {
		return owner.bounds.Round() / 5
	}
	return owner.bounds.Round()
}

func (owner *Owner) takeOver(now time.Duration, held *duty) {
	held.owning, held.taken = true, now
	held.epoch = contract.Epoch{Number: held.highest.Number + 1, Node: owner.self.Name, Incarnation: owner.self.Boot}
	held.highest, held.number, held.list = held.epoch, 0, ""
	held.words, held.calls, held.lingering = map[string]retire.Word{}, map[string]map[string]int64{}, map[string]map[string]int64{}
	held.tallies, held.conditions = map[string]map[string]contract.CallTally{}, map[string]*condition{}
	held.shares = map[string]map[string]int64{}
	held.retirements, held.released = map[string]*retire.Retirement{}, map[string]string{}
	owner.emit(contract.AddCounter{Name: "take_overs", Delta: 1}, contract.Log{Message: "shard taken", Attributes: []any{"shard", held.index, "epoch", held.epoch.Number}})
}

func (owner *Owner) mine(held *duty) []contract.ListedServer {
	rows := []contract.ListedServer{}
	for _, row := range owner.listing.Servers {
		if contract.ShardOf(row.Name, owner.shards) == held.index {
			rows = append(rows, row)
		}
	}
	return rows
}

func (owner *Owner) readReports(now time.Duration, held *duty) {
	for _, row := range owner.mine(held) {
		known := owner.servers[row.Name]
		_, retiring := held.retirements[row.Name]
		if row.Unloaded || row.AssumedReady && !retiring || now < known.nextRead || known.reading && now < known.nextRead+owner.bounds.Lease() {
			continue
		}
		known.reading, known.nextRead = true, now+owner.bounds.PlatformPoll()
		owner.emit(ReadReport{Server: row.Name, Address: row.Address})
	}
}

const darkAfter = 2

func manifestOrder(duties map[int]*duty) []int {
	indexes := []int{}
	for index := 0; len(indexes) < len(duties); index++ {
		if _, there := duties[index]; there {
			indexes = append(indexes, index)
		}
	}
	return indexes
}
