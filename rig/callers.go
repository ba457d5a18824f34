package rig

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/ledger"
	"github.com/cedarreel/cedarreel/site"
)

// Traffic simulates the callers of a site: each kind calls at its own rate, mostly at nodes of its home region.
type Traffic struct {
	rig    *Rig
	random *rand.Rand
	lock   sync.Mutex
	group  sync.WaitGroup
	// started counts the calls so far; it makes their keys unique.
	started int
	// keyPrefix is put before every key, so that two Traffics of one run don't share keys.
	keyPrefix string
	// maxRunning limits the concurrent calls; calls that are due beyond it are skipped.
	maxRunning int
	running    int
}

// maxConcurrentCalls is the limit of a new Traffic.
const maxConcurrentCalls = 400

// NewTraffic returns callers whose homes, sessions, prefixes and nodes are drawn from a seed.
func (rig *Rig) NewTraffic(seed uint64) *Traffic {
	return &Traffic{rig: rig, random: rand.New(rand.NewPCG(seed, 2)), maxRunning: maxConcurrentCalls}
}

// Run starts the callers of each kind in the background, at the site's rate times factor. They start calls for the given duration; Wait waits
// for them.
func (traffic *Traffic) Run(span time.Duration, factor float64) {
	endsAt := time.Now().Add(span)
	for _, kind := range traffic.rig.Site.Callers {
		traffic.group.Add(1)
		go func() {
			defer traffic.group.Done()
			rate := float64(kind.PerSecond) * factor
			for time.Now().Before(endsAt) && rate > 0 {
				traffic.startCall(kind)
				time.Sleep(time.Duration(float64(time.Second) / rate))
			}
		}()
	}
}

// Wait returns when all callers have stopped and all their calls have ended.
func (traffic *Traffic) Wait() { traffic.group.Wait() }

// startCall draws the parameters of one call and runs it in the background.
func (traffic *Traffic) startCall(kind site.Caller) {
	traffic.lock.Lock()
	defer traffic.lock.Unlock()
	if traffic.running >= traffic.maxRunning {
		return
	}
	traffic.started++
	traffic.running++
	regions := traffic.rig.Site.Regions()
	home := regions[traffic.random.IntN(len(regions))]
	call := &callerCall{traffic: traffic, kind: kind, home: home, key: fmt.Sprintf("%s%s-%d", traffic.keyPrefix, kind.Route, traffic.started)}
	if kind.Prefixes > 0 {
		call.prefix = fmt.Sprintf("contract %d of %s", traffic.random.Int64N(kind.Prefixes), kind.Route)
	}
	if kind.Class == "short" {
		call.session = fmt.Sprintf("%s-%d", home, traffic.random.IntN(sessionsPerHome))
	}
	nodes, roaming := []*Node{}, traffic.random.Float64() < roamingShare
	for _, node := range traffic.rig.Nodes {
		if roaming || node.Machine.Region == home {
			nodes = append(nodes, node)
		}
	}
	traffic.random.Shuffle(len(nodes), func(left, right int) { nodes[left], nodes[right] = nodes[right], nodes[left] })
	call.nodes = nodes
	traffic.group.Add(1)
	go func() {
		defer traffic.group.Done()
		call.runWithRetries()
		traffic.lock.Lock()
		traffic.running--
		traffic.lock.Unlock()
	}()
}

// callerCall is one logical call of a caller, with all its attempts under one idempotency key.
type callerCall struct {
	traffic *Traffic
	// kind describes the caller: route, class, rate, sizes and deadline.
	kind site.Caller
	// home is the caller's home region.
	home string
	key  string
	// prefix is the prompt prefix that the call shares with others; empty for none.
	prefix string
	// session is sent as Cedar-Session; empty for none.
	session string
	// nodes are the nodes to try, in order.
	nodes []*Node
}

const (
	// maxAttempts bounds the attempts of one call.
	maxAttempts = 3
	// sessionsPerHome is how many sessions each home region has.
	sessionsPerHome = 24
	// roamingShare is the share of calls that may arrive at a node of any region.
	roamingShare = 0.15
)

// runWithRetries repeats the call under the same key at the next node until its outcome is final or no attempt is left.
func (call *callerCall) runWithRetries() {
	began, repeat := time.Now(), false
	for attempt := 0; attempt < maxAttempts && attempt < len(call.nodes); attempt++ {
		reply, retryAfter := call.attempt(call.nodes[attempt], repeat, time.Since(began))
		if reply.Outcome == "done" || reply.Outcome == "interrupted" || reply.Outcome == "unknown" {
			return
		}
		if reply.Outcome != "not_run" {
			repeat = true
		}
		if retryAfter == 0 {
			retryAfter = 200 * time.Millisecond
		}
		time.Sleep(min(retryAfter, 2*time.Second))
	}
}

// newRequest builds the HTTP request of one attempt. A repeat after a possible run carries its attempt number and the age of the call.
func (call *callerCall) newRequest(node *Node, repeat bool, age time.Duration) (*http.Request, error) {
	base := "http://" + node.Settings.Data
	method, path, body := http.MethodGet, "/v1/lookups/"+call.kind.Route+"/"+call.key, []byte(nil)
	if call.kind.Class != "lookup" {
		messages := []any{}
		if call.prefix != "" {
			messages = append(messages, map[string]any{"role": "system", "content": call.prefix + strings.Repeat(" clause", int(call.kind.Tokens/2))})
		}
		messages = append(messages, map[string]any{"role": "user", "content": fmt.Sprintf("call %s pieces %d", call.key, call.kind.Pieces)})
		content, err := json.Marshal(map[string]any{"model": call.kind.Route, "stream": !call.kind.Unary, "messages": messages})
		if err != nil {
			return nil, err
		}
		method, path, body = http.MethodPost, "/v1/chat/completions", content
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(call.kind.DeadlineMs)*time.Millisecond+call.traffic.rig.bounds.Deliver())
	request, err := http.NewRequestWithContext(ctx, method, base+path, unrepeatableBody(body))
	if err != nil {
		cancel()
		return nil, err
	}
	context.AfterFunc(ctx, cancel)
	request.Header.Set("Cedar-Route", call.kind.Route)
	request.Header.Set("Cedar-Caller", "desk-"+call.home)
	request.Header.Set("Cedar-Home", call.home)
	request.Header.Set("Idempotency-Key", call.key)
	if call.session != "" {
		request.Header.Set("Cedar-Session", call.session)
	}
	if repeat {
		request.Header.Set("Cedar-Attempt", "2")
		request.Header.Set("Cedar-Age-Ms", fmt.Sprint(age.Milliseconds()+1))
	}
	return request, nil
}

// unrepeatableBody wraps a body so that the HTTP client cannot resend it on its own.
func unrepeatableBody(body []byte) io.Reader {
	if body == nil {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(body))
}

// attempt sends one attempt, records it in the ledger and returns the reply with the server's suggested delay before a retry. The outcome is
// "broken" if the reply ended early and "not_run" if no connection was made.
func (call *callerCall) attempt(node *Node, repeat bool, age time.Duration) (ledger.Reply, time.Duration) {
	rig := call.traffic.rig
	request, err := call.newRequest(node, repeat, age)
	if err != nil {
		return ledger.Reply{Outcome: "not_run"}, 0
	}
	began := time.Now()
	index := rig.Ledger.AttemptSent(call.key, call.kind.Class, call.home, call.kind.Class != "lookup", node.Settings.Name, node.Settings.Region != call.home, rig.now(), time.Duration(call.kind.DeadlineMs)*time.Millisecond)
	response, err := rig.client.Do(request)
	reply, retryAfter := ledger.Reply{Outcome: "broken"}, time.Duration(0)
	if err != nil && strings.Contains(err.Error(), "connection refused") {
		reply.Outcome = "not_run"
	}
	if err == nil {
		defer response.Body.Close()
		reply.Status = response.StatusCode
		call.readReply(response, &reply, began, &retryAfter)
	}
	rig.Ledger.AttemptAnswered(call.key, index, rig.now(), reply)
	return reply, retryAfter
}

// errorReply is the part of an error body that callers act on.
type errorReply struct {
	Outcome      string `json:"outcome"`
	RetryAfterMs int64  `json:"retryAfterMs"`
}

// readReply reads an error, a unary reply or a stream into reply. An unfinished stream leaves the outcome as it was.
func (call *callerCall) readReply(response *http.Response, reply *ledger.Reply, began time.Time, retryAfter *time.Duration) {
	if response.StatusCode != http.StatusOK {
		var failure errorReply
		if json.NewDecoder(response.Body).Decode(&failure) == nil && failure.Outcome != "" {
			reply.Outcome = failure.Outcome
		}
		*retryAfter = time.Duration(failure.RetryAfterMs) * time.Millisecond
		return
	}
	if call.kind.Class == "lookup" || call.kind.Unary {
		call.readUnary(response, reply, began)
		return
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, 1<<20)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if text, ok := strings.CutPrefix(line, "event: "); ok {
			event = text
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if event == "error" {
			reply.Outcome = "interrupted"
			return
		}
		if data == "[DONE]" {
			reply.Outcome, reply.Finished = "done", true
			return
		}
		call.readChunk(data, reply, began)
	}
}

// readChunk adds the piece of one stream event to the reply, or "garbled" for an event that it cannot parse.
func (call *callerCall) readChunk(data string, reply *ledger.Reply, began time.Time) {
	var chunk struct {
		Number  int64 `json:"number"`
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			Finish *string `json:"finish_reason"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) != 1 {
		reply.Chunks = append(reply.Chunks, "garbled")
		return
	}
	if chunk.Choices[0].Finish != nil {
		return
	}
	if reply.FirstChunkAfter == 0 {
		reply.FirstChunkAfter = time.Since(began)
	}
	reply.Chunks = append(reply.Chunks, chunk.Choices[0].Delta.Content)
	reply.ChunkNumbers = append(reply.ChunkNumbers, chunk.Number)
}

// readUnary reads a lookup or an unstreamed chat, whose pieces end with semicolons.
func (call *callerCall) readUnary(response *http.Response, reply *ledger.Reply, began time.Time) {
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	reply.FirstChunkAfter = time.Since(began)
	reply.Outcome, reply.Finished = "done", true
	if call.kind.Class == "lookup" {
		return
	}
	var parsed struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(content, &parsed) == nil && len(parsed.Choices) == 1 {
		for _, piece := range strings.SplitAfter(parsed.Choices[0].Message.Content, ";") {
			if piece != "" {
				reply.Chunks = append(reply.Chunks, piece)
			}
		}
	}
}
