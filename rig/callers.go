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

// Crowd is the callers of a site: each kind comes at its own rate, at the nodes of its home region.
type Crowd struct {
	rig     *Rig
	random  *rand.Rand
	lock    sync.Mutex
	group   sync.WaitGroup
	number  int
	prefix  string
	most    int
	running int
}

const mostCallers = 400

func (rig *Rig) NewCrowd(seed uint64) *Crowd {
	return &Crowd{rig: rig, random: rand.New(rand.NewPCG(seed, 2)), most: mostCallers}
}

// Run sends the traffic of a site for a while and returns once all of it is over.
func (crowd *Crowd) Run(span time.Duration, factor float64) {
	ends := time.Now().Add(span)
	for _, kind := range crowd.rig.Site.Callers {
		crowd.group.Add(1)
		go func() {
			defer crowd.group.Done()
			rate := float64(kind.PerSecond) * factor
			for time.Now().Before(ends) && rate > 0 {
				crowd.one(kind)
				time.Sleep(time.Duration(float64(time.Second) / rate))
			}
		}()
	}
}

func (crowd *Crowd) Wait() { crowd.group.Wait() }

func (crowd *Crowd) one(kind site.Caller) {
	crowd.lock.Lock()
	defer crowd.lock.Unlock()
	if crowd.running >= crowd.most {
		return
	}
	crowd.number++
	crowd.running++
	regions := crowd.rig.Site.Regions()
	home := regions[crowd.random.IntN(len(regions))]
	job := &visit{crowd: crowd, kind: kind, home: home, scoped: fmt.Sprintf("%s%s-%d", crowd.prefix, kind.Route, crowd.number)}
	if kind.Prefixes > 0 {
		job.prefix = fmt.Sprintf("contract %d of %s", crowd.random.Int64N(kind.Prefixes), kind.Route)
	}
	if kind.Class == "short" {
		job.session = fmt.Sprintf("%s-%d", home, crowd.random.IntN(travellers))
	}
	nodes, away := []*Node{}, crowd.random.Float64() < awayShare
	for _, node := range crowd.rig.Nodes {
		if away || node.Machine.Region == home {
			nodes = append(nodes, node)
		}
	}
	crowd.random.Shuffle(len(nodes), func(left, right int) { nodes[left], nodes[right] = nodes[right], nodes[left] })
	job.nodes = nodes
	crowd.group.Add(1)
	go func() {
		defer crowd.group.Done()
		job.run()
		crowd.lock.Lock()
		crowd.running--
		crowd.lock.Unlock()
	}()
}

type visit struct {
	crowd   *Crowd
	kind    site.Caller
	home    string
	scoped  string
	prefix  string
	session string
	nodes   []*Node
}

const (
	mostTries = 3
	// travellers is how many sessions each home has; awayShare of the callers have moved and call at any node of any region.
	travellers = 24
	awayShare  = 0.15
)

// run is a caller's whole patience: it repeats the same key at another node until it has an end it can keep.
func (visit *visit) run() {
	began, repeat := time.Now(), false
	for try := 0; try < mostTries && try < len(visit.nodes); try++ {
		reply, after := visit.try(visit.nodes[try], repeat, time.Since(began))
		if reply.Outcome == "done" || reply.Outcome == "interrupted" || reply.Outcome == "unknown" {
			return
		}
		if reply.Outcome != "not_run" {
			repeat = true
		}
		if after == 0 {
			after = 200 * time.Millisecond
		}
		time.Sleep(min(after, 2*time.Second))
	}
}

func (visit *visit) request(node *Node, repeat bool, age time.Duration) (*http.Request, error) {
	base := "http://" + node.Settings.Data
	method, path, body := http.MethodGet, "/v1/lookups/"+visit.kind.Route+"/"+visit.scoped, []byte(nil)
	if visit.kind.Class != "lookup" {
		messages := []any{}
		if visit.prefix != "" {
			messages = append(messages, map[string]any{"role": "system", "content": visit.prefix + strings.Repeat(" clause", int(visit.kind.Tokens/2))})
		}
		messages = append(messages, map[string]any{"role": "user", "content": fmt.Sprintf("call %s pieces %d", visit.scoped, visit.kind.Pieces)})
		content, err := json.Marshal(map[string]any{"model": visit.kind.Route, "stream": !visit.kind.Unary, "messages": messages})
		if err != nil {
			return nil, err
		}
		method, path, body = http.MethodPost, "/v1/chat/completions", content
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(visit.kind.DeadlineMs)*time.Millisecond+visit.crowd.rig.bounds.Deliver())
	request, err := http.NewRequestWithContext(ctx, method, base+path, onceOnly(body))
	if err != nil {
		cancel()
		return nil, err
	}
	context.AfterFunc(ctx, cancel)
	request.Header.Set("Cedar-Route", visit.kind.Route)
	request.Header.Set("Cedar-Caller", "desk-"+visit.home)
	request.Header.Set("Cedar-Home", visit.home)
	request.Header.Set("Idempotency-Key", visit.scoped)
	if visit.session != "" {
		request.Header.Set("Cedar-Session", visit.session)
	}
	if repeat {
		request.Header.Set("Cedar-Attempt", "2")
		request.Header.Set("Cedar-Age-Ms", fmt.Sprint(age.Milliseconds()+1))
	}
	return request, nil
}

// onceOnly is a body that the HTTP client cannot send a second time on its own.
func onceOnly(body []byte) io.Reader {
	if body == nil {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(body))
}

// try sends one attempt and judges what came back.
func (visit *visit) try(node *Node, repeat bool, age time.Duration) (ledger.Reply, time.Duration) {
	rig := visit.crowd.rig
	request, err := visit.request(node, repeat, age)
	if err != nil {
		return ledger.Reply{Outcome: "not_run"}, 0
	}
	began := time.Now()
	index := rig.Ledger.AttemptSent(visit.scoped, visit.kind.Class, visit.home, visit.kind.Class != "lookup", node.Settings.Name, node.Settings.Region != visit.home, rig.now(), time.Duration(visit.kind.DeadlineMs)*time.Millisecond)
	response, err := rig.client.Do(request)
	reply, after := ledger.Reply{Outcome: "broken"}, time.Duration(0)
	if err != nil && strings.Contains(err.Error(), "connection refused") {
		reply.Outcome = "not_run"
	}
	if err == nil {
		defer response.Body.Close()
		reply.Status = response.StatusCode
		visit.read(response, &reply, began, &after)
	}
	rig.Ledger.AttemptAnswered(visit.scoped, index, rig.now(), reply)
	return reply, after
}

type trouble struct {
	Outcome      string `json:"outcome"`
	RetryAfterMs int64  `json:"retryAfterMs"`
}

func (visit *visit) read(response *http.Response, reply *ledger.Reply, began time.Time, after *time.Duration) {
	if response.StatusCode != http.StatusOK {
		var told trouble
		if json.NewDecoder(response.Body).Decode(&told) == nil && told.Outcome != "" {
			reply.Outcome = told.Outcome
		}
		*after = time.Duration(told.RetryAfterMs) * time.Millisecond
		return
	}
	if visit.kind.Class == "lookup" || visit.kind.Unary {
		visit.readWhole(response, reply, began)
		return
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, 1<<20)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if text, fine := strings.CutPrefix(line, "event: "); fine {
			event = text
			continue
		}
		data, fine := strings.CutPrefix(line, "data: ")
		if !fine {
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
		visit.piece(data, reply, began)
	}
}

func (visit *visit) piece(data string, reply *ledger.Reply, began time.Time) {
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

func (visit *visit) readWhole(response *http.Response, reply *ledger.Reply, began time.Time) {
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	reply.FirstChunkAfter = time.Since(began)
	reply.Outcome, reply.Finished = "done", true
	if visit.kind.Class == "lookup" {
		return
	}
	var read struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(content, &read) == nil && len(read.Choices) == 1 {
		for _, piece := range strings.SplitAfter(read.Choices[0].Message.Content, ";") {
			if piece != "" {
				reply.Chunks = append(reply.Chunks, piece)
			}
		}
	}
}
