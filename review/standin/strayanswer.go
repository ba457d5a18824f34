package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// connection is one connection to a server. strayBytes says that the server sends more bytes after its last answer, late: in the place of the next one.
type connection struct{ strayBytes atomic.Bool }

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// strayAnswer are the bytes that a server in trouble sends after a whole answer. They belong to no request.
var strayAnswer = "HTTP/1.1 503 Service Unavailable\r\n" + names.NotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"

// drawStrayBytes decides whether more bytes follow the answer to this request.
func (server *server) drawStrayBytes(request *http.Request) {
	server.lock.Lock()
	garbled := server.garbled
	server.lock.Unlock()
	if state, found := request.Context().Value(connectionKey{}).(*connection); found && rand.Float64() < garbled {
		state.strayBytes.Store(true)
	}
}

// answerAfterStrayBytes sends the late bytes of the answer before, if there are any, runs this request and answers it. It reports false if there are no
// such bytes.
func (server *server) answerAfterStrayBytes(writer http.ResponseWriter, request *http.Request, id string) bool {
	state, found := request.Context().Value(connectionKey{}).(*connection)
	if !found || !state.strayBytes.Load() {
		return false
	}
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	record := server.platform.record
	record.line("server %s sends more bytes after a whole answer, while it runs request %s", server.id, id)
	_, _ = conn.Write([]byte(strayAnswer))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n", names.AttemptID, id, names.Seal, id)
	if _, err = conn.Write([]byte(head)); err != nil {
		return true
	}
	for number := 1; number <= eventCount; number++ {
		time.Sleep(workTime)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, id)
		if _, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			record.line("server %s has run request %s as far as event %d; its connection is closed", server.id, id, number)
			return true
		}
	}
	_, _ = conn.Write([]byte("0\r\n\r\n"))
	record.line("server %s has run request %s to its end", server.id, id)
	return true
}

// Times and shares of the case stray-answer: those of the site's trouble garble.
const (
	garbleTime    = 5 * time.Second
	garbleServers = 0.6
	garbleAnswers = 0.03
	garbleRounds  = 4
)

// strayAnswerCase lets a part of the model servers send more bytes after a part of their answers. The rule is broken if a request that cannot be repeated
// gets 429, 503, 408 or 421 and has run.
func strayAnswerCase(fleet *fleet, trouble bool) (bool, error) {
	if err := fleet.configure(); err != nil {
		return false, err
	}
	fleet.clients.startVerdicts()
	fleet.clients.start()
	time.Sleep(contact)
	for range garbleRounds {
		if trouble {
			fleet.platform.garble(garbleServers, garbleAnswers)
		}
		time.Sleep(garbleTime)
		fleet.platform.garble(0, 0)
		time.Sleep(time.Second)
	}
	fleet.clients.stop()
	breaches := 0
	for _, refused := range fleet.clients.refusedVerdicts() {
		if fleet.platform.runs(refused.id) {
			breaches++
			fleet.record.line("REFUSED: request %s, which cannot be repeated, got %d from %s at %.3f and has run", refused.id, refused.status, refused.machine.name, refused.at.Seconds())
		}
	}
	fleet.record.line("REFUSED: %d requests that cannot be repeated were refused and have run", breaches)
	return breaches > 0, nil
}

// garble sets the share of answers after which a share of the model servers sends more bytes.
func (platform *platform) garble(servers, answers float64) {
	models := []*server{}
	for _, server := range platform.servers {
		if server.service == modelService {
			models = append(models, server)
		}
	}
	rand.Shuffle(len(models), func(left, right int) { models[left], models[right] = models[right], models[left] })
	for index, server := range models {
		server.lock.Lock()
		server.garbled = 0
		if float64(index) < servers*float64(len(models))-0.5 {
			server.garbled = answers
		}
		server.lock.Unlock()
	}
	platform.record.line("servers: %v of the model servers send more bytes after %v of their answers", servers, answers)
}
