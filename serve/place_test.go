package serve_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/manifest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// indexServer is a control node on a real socket that answers queries of the prompt index as its test says.
type indexServer struct {
	lock   sync.Mutex
	asks   []index.PlacementRequest
	answer func(http.ResponseWriter, index.PlacementRequest)
}

func (indexServer *indexServer) asked() []index.PlacementRequest {
	indexServer.lock.Lock()
	defer indexServer.lock.Unlock()
	return append([]index.PlacementRequest{}, indexServer.asks...)
}

func (indexServer *indexServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	defer GinkgoRecover()
	var forwarded contract.OperatorRequest
	var ask index.PlacementRequest
	content, _ := io.ReadAll(request.Body)
	Expect(json.Unmarshal(content, &forwarded)).To(Succeed())
	Expect(forwarded.Verb).To(Equal(contract.VerbPlace))
	Expect(json.Unmarshal(forwarded.Body, &ask)).To(Succeed())
	indexServer.lock.Lock()
	indexServer.asks = append(indexServer.asks, ask)
	indexServer.lock.Unlock()
	indexServer.answer(writer, ask)
}

var longPromptHeaders = []string{"X-Token-Usage", "14000,10", "X-Model", "m", "X-Prompt-Prefix", "contract:13000,own:1000"}

// setUpIndex returns a fixture with four model servers, whose node queries an index server.
func setUpIndex(answer func(http.ResponseWriter, index.PlacementRequest)) (*fixture, *indexServer) {
	GinkgoHelper()
	return setUpIndexWithContact(4*time.Second, answer)
}

func setUpIndexWithContact(contact time.Duration, answer func(http.ResponseWriter, index.PlacementRequest)) (*fixture, *indexServer) {
	GinkgoHelper()
	created, indexServer, stop := setUpWithContact(contact, 4, completeAnswer), &indexServer{answer: answer}, make(chan struct{})
	controlNode := httptest.NewServer(indexServer)
	DeferCleanup(func() {
		close(stop)
		controlNode.CloseClientConnections()
		controlNode.Close()
	})
	created.proxy.AskAt(strings.TrimPrefix(controlNode.URL, "http://"), stop)
	configured := routes(3)
	configured.Manifest.Gateway.Services["s"] = manifest.Service{Engine: &manifest.Engine{Slots: 48, TokenCapacity: 300000, TokensPerStep: 5}}
	created.proxy.Apply(configured)
	created.proxy.Apply(gateway.IndexReachability{OwnerKnown: true})
	return created, indexServer
}

// knownFlags returns for each query whether it asked for existing entries only.
func knownFlags(asks []index.PlacementRequest) []bool {
	known := []bool{}
	for _, ask := range asks {
		known = append(known, ask.Known)
	}
	return known
}

func answerPlace(writer http.ResponseWriter, ask index.PlacementRequest, server string) {
	_ = json.NewEncoder(writer).Encode(index.Placement{Key: ask.Key, Server: server})
}

func (fixture *fixture) sendComplete(path string) string {
	GinkgoHelper()
	response, content, err := fixture.ask(path, "b", longPromptHeaders...)
	Expect(err).NotTo(HaveOccurred())
	Expect([]any{response.StatusCode, content}).To(Equal([]any{200, "whole"}))
	calls := fixture.received()
	return calls[len(calls)-1].server
}

var _ = Describe("a call with a long shared prompt", func() {
	It("given a control node that answers, when calls come, then they go to the place, asked for once", func() {
		place := ""
		fixture, indexServer := setUpIndex(func(writer http.ResponseWriter, ask index.PlacementRequest) {
			place = ask.Candidates[len(ask.Candidates)-1]
			answerPlace(writer, ask, place)
		})
		for range 3 {
			Expect(fixture.sendComplete("/write/x")).To(Equal(place))
		}
		Expect(indexServer.asked()).To(HaveLen(1))
		Expect(indexServer.asked()[0].Candidates).To(HaveLen(3), "until it is known where short prompts go, one server of four is left to them")
		Expect(indexServer.asked()[0].Key.Scope).To(HavePrefix("s"))
		_, _, err := fixture.ask("/write/x", "b", append(longPromptHeaders[:4:4], "X-Prompt-Prefix", "other:13000,own:1000")...)
		Expect(err).NotTo(HaveOccurred())
		Expect(indexServer.asked()).To(HaveLen(2), "another prompt is asked for at once")
	})

	It("given a control node that refuses, when calls come, then each goes by the shared order after one question, and is not sent twice", func() {
		fixture, indexServer := setUpIndex(func(writer http.ResponseWriter, _ index.PlacementRequest) { writer.WriteHeader(404) })
		for calls := range 3 {
			Expect(fixture.sendComplete("/write/x")).To(Equal(indexServer.asked()[0].Candidates[0]))
			Expect(indexServer.asked()).To(HaveLen(calls + 1))
		}
		Expect(fixture.received()).To(HaveLen(3), "no call is sent twice for it")
		Expect(fixture.proxy.Counts()).NotTo(HaveKey("places_unanswered"), "a refusal is not waited for")
	})

	It("given a near replica, when it does not know the prompt, then the owner is asked after it, and when it does, nobody else is", func() {
		knows := atomic.Bool{}
		fixture, indexServer := setUpIndexWithContact(10*time.Minute, func(writer http.ResponseWriter, ask index.PlacementRequest) {
			if ask.Known && !knows.Load() {
				writer.WriteHeader(404)
				return
			}
			answerPlace(writer, ask, "server3")
		})
		fixture.proxy.Apply(gateway.IndexReachability{OwnerKnown: true, ReplicaNear: true})
		Expect(fixture.sendComplete("/write/x")).To(Equal("server3"))
		Expect(knownFlags(indexServer.asked())).To(Equal([]bool{true, false}))
		knows.Store(true)
		_, _, err := fixture.ask("/write/x", "b", append(longPromptHeaders[:4:4], "X-Prompt-Prefix", "other:13000,own:1000")...)
		Expect(err).NotTo(HaveOccurred())
		Expect(knownFlags(indexServer.asked())).To(Equal([]bool{true, false, true}))
		Expect(fixture.proxy.Counts()).NotTo(HaveKey("places_unanswered"))
	})

	It("given a near replica that does not answer, when calls come, then the owner is asked after its patience, and at once by later ones", func() {
		late := make(chan struct{})
		fixture, indexServer := setUpIndex(func(writer http.ResponseWriter, ask index.PlacementRequest) {
			if ask.Known {
				<-late
				return
			}
			writer.WriteHeader(404)
		})
		defer close(late)
		fixture.proxy.Apply(gateway.IndexReachability{OwnerKnown: true, ReplicaNear: true})
		fixture.sendComplete("/write/x")
		fixture.sendComplete("/write/x")
		Expect(knownFlags(indexServer.asked())).To(Equal([]bool{true, false, false}))
		Expect(fixture.proxy.Counts()["places_unanswered"]).To(Equal(int64(1)))
	})

	for name, answer := range map[string]func(http.ResponseWriter, index.PlacementRequest){
		"fails":                func(writer http.ResponseWriter, _ index.PlacementRequest) { writer.WriteHeader(503) },
		"names no server":      func(writer http.ResponseWriter, _ index.PlacementRequest) { _, _ = io.WriteString(writer, "{}") },
		"says what is no JSON": func(writer http.ResponseWriter, _ index.PlacementRequest) { _, _ = io.WriteString(writer, "<html>") },
		"breaks its answer": func(writer http.ResponseWriter, _ index.PlacementRequest) {
			conn, _, err := writer.(http.Hijacker).Hijack()
			Expect(err).NotTo(HaveOccurred())
			_ = conn.Close()
		},
	} {
		It("given a control node that "+name+", when calls come, then they go by the shared order and it is left alone for a while", func() {
			fixture, indexServer := setUpIndex(answer)
			for range 3 {
				Expect(fixture.sendComplete("/write/x")).To(Equal(indexServer.asked()[0].Candidates[0]))
			}
			Expect(indexServer.asked()).To(HaveLen(1))
			Expect(fixture.received()).To(HaveLen(3), "no call is sent twice for it")
			Expect(fixture.proxy.Counts()).NotTo(HaveKey("places_unanswered"), "a refusal is not waited for")
		})
	}

	It("given a control node that does not answer, when a call has waited for its patience, then it goes by the shared order", func() {
		late := make(chan struct{})
		fixture, indexServer := setUpIndex(func(http.ResponseWriter, index.PlacementRequest) { <-late })
		defer close(late)
		Expect(fixture.sendComplete("/write/x")).To(Equal(indexServer.asked()[0].Candidates[0]))
		Expect(fixture.proxy.Counts()["places_unanswered"]).To(Equal(int64(1)))
		Expect(fixture.received()).To(HaveLen(1))
	})

	It("given a caller that leaves while its node asks, when it has left, then no server gets the call, and a late answer serves later ones", func() {
		asked, late := make(chan struct{}), make(chan struct{})
		release := sync.OnceFunc(func() { close(late) })
		defer release()
		fixture, indexServer := setUpIndex(func(writer http.ResponseWriter, ask index.PlacementRequest) {
			close(asked)
			<-late
			answerPlace(writer, ask, ask.Candidates[2])
		})
		ctx, leave := context.WithCancel(context.Background())
		go func() {
			<-asked
			leave()
		}()
		_, err := http.DefaultClient.Do(fixture.request("/write/x", "b", longPromptHeaders...).WithContext(ctx))
		Expect(err).To(HaveOccurred())
		Eventually(fixture.proxy.Running).Should(BeZero())
		Expect(fixture.received()).To(BeEmpty())
		Expect(fixture.proxy.Counts()).NotTo(HaveKey("places_unanswered"), "it does not wait for its patience")
		release()
		Eventually(fixture.proxy.Counts).Should(HaveKeyWithValue("places_answered", int64(1)))
		Expect(fixture.sendComplete("/write/x")).To(Equal(indexServer.asked()[0].Candidates[2]))
		Expect(indexServer.asked()).To(HaveLen(1))
	})
})
