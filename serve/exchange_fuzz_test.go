package serve_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// serverReply is the bytes with which a server may answer a call.
type serverReply struct {
	name string
	text string
	// ran means that the server ran the call, whole that its answer is complete and well formed.
	ran, whole bool
	// more is the number of bytes after the complete answer, which belong to no call.
	more int
}

const serverBody = "the server's own body"

// serverReplies returns the replies that a server's behaviour is drawn from.
func serverReplies() []serverReply {
	second := sizedResponse("200 OK", "late one", "X-Attempt-Id: late", serverHeaders[1])
	return []serverReply{
		{"a whole answer", sizedResponse("200 OK", serverBody, serverHeaders...), true, true, 0},
		{"a whole answer in chunks", responseHead("200 OK", append(serverHeaders, "Transfer-Encoding: chunked")...) + chunk(serverBody[:5]) + chunk(serverBody[5:]) + lastChunk, true, true, 0},
		{"a whole failure", sizedResponse("500 Internal Server Error", "oh", serverHeaders...), true, true, 0},
		{"not run", sizedResponse("503 Service Unavailable", "full", serverHeaders[0], "X-Not-Executed: 1"), false, true, 0},
		{"moved", sizedResponse("421 Misdirected Request", "", serverHeaders[0]), false, true, 0},
		{"another call's answer", sizedResponse("200 OK", "another's", "X-Attempt-Id: another", serverHeaders[1]), true, false, 0},
		{"no mark", sizedResponse("200 OK", "nobody's", serverHeaders[0]), true, false, 0},
		{"no length", responseHead("200 OK", serverHeaders...) + serverBody, true, false, 0},
		{"bytes that are no answer", "\x16\x03\x01 nonsense\r\n\r\n", true, false, 0},
		{"two answers", sizedResponse("200 OK", serverBody, serverHeaders...) + second, true, true, len(second)},
		{"continue first", "HTTP/1.1 100 Continue\r\n\r\n" + sizedResponse("200 OK", serverBody, serverHeaders...), true, true, 0},
		{"nothing", "", true, false, 0},
	}
}

// playedReply is a reply as a server sends it: how many of its bytes, in which parts, and whether it then resets or closes the connection.
type playedReply struct {
	serverReply serverReply
	sent        int
	parts       []int
	reset       bool
	closes      bool
}

func randomReply(random *rand.Rand) playedReply {
	all := serverReplies()
	drawn := playedReply{serverReply: all[random.IntN(len(all))], closes: random.IntN(3) == 0, reset: random.IntN(4) == 0}
	drawn.sent = len(drawn.serverReply.text)
	if random.IntN(3) == 0 && drawn.sent > 0 {
		drawn.sent = random.IntN(drawn.sent)
	}
	for remaining := drawn.sent; remaining > 0; {
		part := min(remaining, 1+random.IntN(40))
		drawn.parts, remaining = append(drawn.parts, part), remaining-part
	}
	return drawn
}

// complete reports whether the caller may get the server's answer.
func (playedReply playedReply) complete() bool {
	return playedReply.serverReply.whole && playedReply.sent >= len(playedReply.serverReply.text)-playedReply.serverReply.more
}

func (playedReply playedReply) responder(conn net.Conn, _ received) bool {
	text := playedReply.serverReply.text[:playedReply.sent]
	for _, part := range playedReply.parts {
		write(conn, text[:part])
		text = text[part:]
	}
	if playedReply.complete() && playedReply.sent == len(playedReply.serverReply.text) && !playedReply.closes {
		return true
	}
	if tcpConn, ok := conn.(*net.TCPConn); ok && playedReply.reset {
		_ = tcpConn.SetLinger(0)
	}
	return false
}

func (playedReply playedReply) String() string {
	return fmt.Sprintf("%s, %d of %d bytes in %d pieces, reset %v, close %v", playedReply.serverReply.name, playedReply.sent, len(playedReply.serverReply.text), len(playedReply.parts), playedReply.reset, playedReply.closes)
}

// runExchanges makes calls over reused connections against servers with random replies, and returns an error if a caller or a server saw
// something that must not happen.
func runExchanges(seed uint64, cleanup func(func())) error {
	random := rand.New(rand.NewPCG(seed, 3))
	replies, responders := []playedReply{}, []responder{}
	for range 12 {
		replies = append(replies, randomReply(random))
		responders = append(responders, replies[len(replies)-1].responder)
	}
	fixture := newFixture(4*time.Second, 2, cleanup, responders...)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}, Timeout: 10 * time.Second}
	cleanup(client.CloseIdleConnections)
	for number := range 4 {
		path, before := []string{"/read/x", "/write/x"}[random.IntN(2)], len(fixture.received())
		request, _ := http.NewRequest(http.MethodPost, fixture.frontend.URL+path, strings.NewReader(strings.Repeat("b", random.IntN(3000))))
		request.Host = "h.example"
		request.Header.Set("X-Attempt-Id", attemptID)
		request.Header.Set("X-Deadline-Ms", "3000")
		if random.IntN(3) == 0 {
			request.Header.Set("Expect", "100-continue")
		}
		response, err := client.Do(request)
		body := []byte{}
		if err == nil {
			body, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		if before >= len(replies) {
			break
		}
		played := replies[before:min(len(replies), max(before, len(fixture.received())))]
		if wrong := verify(path, played, response, body, err); wrong != nil {
			return fmt.Errorf("seed %d, call %d to %s: %w; played: %v", seed, number, path, wrong, played)
		}
	}
	return nil
}

// verify checks the answer to one call against the replies that servers gave to it.
func verify(path string, played []playedReply, response *http.Response, body []byte, err error) error {
	runs := 0
	for _, playedReply := range played {
		if playedReply.serverReply.ran {
			runs++
		}
	}
	if path == "/write/x" && runs > 1 {
		return fmt.Errorf("a call that must not run twice may have run %d times", runs)
	}
	if err != nil || response.StatusCode/100 != 2 {
		if err == nil && path == "/write/x" && runs > 0 && (response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests) {
			return fmt.Errorf("status %d promises that the call did not run, and it may have", response.StatusCode)
		}
		return nil
	}
	if len(played) == 0 || !played[len(played)-1].complete() {
		return fmt.Errorf("a success without a server's whole answer: %q", body)
	}
	if string(body) != serverBody {
		return fmt.Errorf("the answer is not the server's: %q", body)
	}
	return nil
}

var _ = It("one call is answered with its own server's whole answer or with none, whatever bytes come in whatever pieces", func() {
	for seed := uint64(1); seed <= 40; seed++ {
		Expect(runExchanges(seed, func(end func()) { DeferCleanup(end) })).To(Succeed())
	}
})

func FuzzExchange(f *testing.F) {
	for seed := uint64(1); seed <= 3; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		if wrong := runExchanges(seed, t.Cleanup); wrong != nil {
			t.Fatal(wrong)
		}
	})
}
