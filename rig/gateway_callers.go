package rig

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/platform"
)

// callKind is one kind of calls on a route.
type callKind struct {
	name       string
	weight     int
	prefix     string
	stream     bool
	repeatable bool
	timeout    time.Duration
	bodyBytes  int
	// pieces and gaps bound the length of a stream and the time before each piece, or the work of a short call.
	leastPieces, mostPieces int
	leastGap, mostGap       time.Duration
	// service runs the calls, in one of the regions if any are named.
	service string
	regions []string
}

const (
	gatewayHost = "calls.example"
	// longestRoute is the longest timeout of a route.
	longestRoute   = 8 * time.Second
	tokensPerPiece = 5
)

// gatewayCaller is one caller with its connections. A staying caller has one machine and goes back to it whatever the directory says; others
// look machines up.
type gatewayCaller struct {
	fleet  *gatewayFleet
	name   string
	random *rand.Rand
	home   *gatewayMachine
	zone   string
	region string
	// obeys says that the caller waits as a refusal tells it to, thinkTime is the longest pause between two of its calls.
	obeys     bool
	thinkTime time.Duration
	conn      *callerLink
	calls     int
	addresses []string
	expiresAt time.Duration
}

// callerLink is a caller's open connection to a machine.
type callerLink struct {
	net.Conn
	reader   *bufio.Reader
	machine  *gatewayMachine
	requests int
}

// startStayingCallers starts callers that send one call after the other to one machine each.
func (fleet *gatewayFleet) startStayingCallers(ctx context.Context) {
	for index := range fleet.plan.StayingCallers {
		caller := fleet.newCaller(fmt.Sprintf("stay%d", index), uint64(index))
		machines := fleet.allMachines()
		caller.home = machines[index%len(machines)]
		caller.obeys, caller.thinkTime = index%3 > 0, shortThinkTime
		if caller.home.hasRareCallers(index) {
			caller.thinkTime = longThinkTime
		}
		fleet.group.Add(1)
		go func() {
			defer fleet.group.Done()
			for ctx.Err() == nil {
				attempt := caller.call()
				caller.pauseAfter(attempt)
			}
			caller.drop()
		}()
	}
}

// startRoamingCallers starts callers that follow the directory, each in its own lane at an even share of the rate.
func (fleet *gatewayFleet) startRoamingCallers(ctx context.Context) {
	lanes := max(1, int(fleet.plan.CallsPerSecond))
	for index := range lanes {
		caller := fleet.newCaller(fmt.Sprintf("roam%d", index), 1<<20+uint64(index))
		caller.obeys = true
		fleet.group.Add(1)
		go func() {
			defer fleet.group.Done()
			for ctx.Err() == nil {
				time.Sleep(time.Duration(caller.random.Float64() * 2 * float64(time.Second)))
				caller.call()
			}
			caller.drop()
		}()
	}
}

func (fleet *gatewayFleet) newCaller(name string, stream uint64) *gatewayCaller {
	zone := fleet.shape.zones[int(stream)%len(fleet.shape.zones)]
	return &gatewayCaller{fleet: fleet, name: name, random: rand.New(rand.NewPCG(fleet.plan.Seed, 100+stream)), zone: zone.name, region: zone.region}
}

const (
	shortThinkTime    = 300 * time.Millisecond
	longThinkTime     = 4 * time.Second
	rareCallersEvery  = 3
	reconnectPause    = 50 * time.Millisecond
	connectLimit      = time.Second
	lookupLimit       = time.Second
	maxLookupAttempts = 3
	// callerPatience is how much longer than its deadline a caller reads.
	callerPatience = 700 * time.Millisecond
)

// pauseAfter waits a random time, and as long as a refusal asked for if the caller obeys.
func (caller *gatewayCaller) pauseAfter(attempt *gatewayAttempt) {
	pause := time.Duration(caller.random.Float64() * float64(caller.thinkTime))
	if !attempt.Connected {
		pause += reconnectPause
	}
	if caller.obeys {
		pause += attempt.RetryAfter
	}
	time.Sleep(pause)
}

// hasRareCallers reports whether the callers that stay with a machine call so rarely that it falls quiet while it stops.
func (machine *gatewayMachine) hasRareCallers(index int) bool {
	return index%len(machine.fleet.shape.machines)%rareCallersEvery == 0
}

// drawKind picks a kind of call by weight.
func (caller *gatewayCaller) drawKind() callKind {
	sum, kinds := 0, caller.fleet.shape.kinds
	for _, kind := range kinds {
		sum += kind.weight
	}
	point := caller.random.IntN(sum)
	for _, kind := range kinds {
		if point -= kind.weight; point < 0 {
			return kind
		}
	}
	return kinds[0]
}

// call sends one request and reads its answer to the end. There are no further tries.
func (caller *gatewayCaller) call() *gatewayAttempt {
	kind, record := caller.drawKind(), caller.fleet.record
	caller.calls++
	attempt := &gatewayAttempt{ID: fmt.Sprintf("%s-%d", caller.name, caller.calls), Kind: kind.name, Repeatable: kind.repeatable}
	if kind.stream {
		attempt.WantPieces = kind.leastPieces + caller.random.IntN(kind.mostPieces-kind.leastPieces)
	}
	gap := kind.leastGap + time.Duration(caller.random.Int64N(int64(kind.mostGap-kind.leastGap)))
	link := caller.connect()
	attempt.Machine = caller.home
	if link == nil {
		return attempt
	}
	attempt.Machine = link.machine
	link.requests++
	attempt.RequestOfConn = link.requests
	_ = link.SetDeadline(time.Now().Add(kind.timeout + callerPatience))
	if _, err := io.WriteString(link, caller.requestText(kind, attempt, gap)); err != nil {
		caller.drop()
		attempt.Error = err.Error()
		return attempt
	}
	attempt.Connected = true
	attempt.Sent = caller.fleet.now()
	attempt.GiveUp = attempt.Sent + kind.timeout
	closes := caller.readAnswer(link, attempt)
	attempt.Ended = caller.fleet.now()
	if closes {
		caller.drop()
	}
	record.add(attempt)
	return attempt
}

func (caller *gatewayCaller) requestText(kind callKind, attempt *gatewayAttempt, gap time.Duration) string {
	text := &strings.Builder{}
	sent := platform.SentCall{ID: attempt.ID, Timeout: kind.timeout}
	if kind.stream {
		sent.InputTokens, sent.OutputTokens, sent.Prefix = 400, attempt.WantPieces*tokensPerPiece, fmt.Sprintf("5c1e07a2:100,%x:300", caller.calls)
	}
	fmt.Fprintf(text, "POST %s%s HTTP/1.1\r\nHost: %s\r\n%s", kind.prefix, attempt.ID, gatewayHost, sent.Lines())
	fmt.Fprintf(text, "%s: %d\r\n%s: %d\r\nContent-Length: %d\r\n", piecesHeader, attempt.WantPieces, gapHeader, gap.Milliseconds(), kind.bodyBytes)
	text.WriteString("\r\n" + strings.Repeat("b", kind.bodyBytes))
	return text.String()
}

// readAnswer reads the answer into the attempt. It reports whether the connection can't be used again.
func (caller *gatewayCaller) readAnswer(link *callerLink, attempt *gatewayAttempt) (closes bool) {
	response, err := http.ReadResponse(link.reader, nil)
	if err != nil {
		attempt.Error = err.Error()
		return true
	}
	defer response.Body.Close()
	attempt.Status, attempt.AnswerID = response.StatusCode, platform.AttemptID(response.Header)
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		attempt.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if number, found := strings.CutPrefix(line, "id: "); found {
			value, _ := strconv.Atoi(strings.TrimSpace(number))
			attempt.Pieces = append(attempt.Pieces, value)
		}
		if err == io.EOF {
			attempt.Complete = true
			return response.Close
		}
		if err != nil {
			attempt.Error = err.Error()
			return true
		}
	}
}

// connect returns the open connection, or opens one: to the caller's own machine, or to one that the directory names.
func (caller *gatewayCaller) connect() *callerLink {
	if caller.conn != nil {
		return caller.conn
	}
	machine := caller.home
	if machine == nil {
		machine = caller.lookUp()
	}
	if machine == nil {
		return nil
	}
	opened, err := net.DialTimeout("tcp", machine.at(trafficPort), connectLimit)
	if err != nil {
		caller.addresses = nil
		return nil
	}
	caller.conn = &callerLink{Conn: opened, reader: bufio.NewReader(opened), machine: machine}
	return caller.conn
}

// drop closes the connection.
func (caller *gatewayCaller) drop() {
	if caller.conn != nil {
		_ = caller.conn.Close()
		caller.conn = nil
	}
}

// lookUp asks the directory when the last answer has expired, and picks one of the addresses.
func (caller *gatewayCaller) lookUp() *gatewayMachine {
	fleet := caller.fleet
	if fleet.now() >= caller.expiresAt || len(caller.addresses) == 0 {
		for range maxLookupAttempts {
			if caller.askDirectory(fleet.draw()) {
				break
			}
		}
	}
	if len(caller.addresses) == 0 {
		return nil
	}
	chosen := caller.addresses[caller.random.IntN(len(caller.addresses))]
	for _, machine := range fleet.allMachines() {
		if machine.at(trafficPort) == chosen {
			return machine
		}
	}
	return nil
}

func (caller *gatewayCaller) askDirectory(machine *gatewayMachine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), lookupLimit)
	defer cancel()
	address := "http://" + machine.at(lookupPort) + platform.LookupQuery(gatewayHost, caller.region, caller.zone)
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	response, err := caller.fleet.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var answer struct{ Addresses []string }
	if json.NewDecoder(response.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return false
	}
	caller.addresses, caller.expiresAt = answer.Addresses, caller.fleet.now()+gatewayLookupLife
	return true
}

// awaitGroup waits for all callers and series, at most for the given time, and reports whether they ended.
func awaitGroup(group *sync.WaitGroup, limit time.Duration) bool {
	done := make(chan bool)
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}
