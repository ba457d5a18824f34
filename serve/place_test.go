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

// keeper is a control node on a real socket that answers asks for places as its test says.
type keeper struct {
	lock   sync.Mutex
	asks   []index.Ask
	answer func(http.ResponseWriter, index.Ask)
}

func (keeper *keeper) asked() []index.Ask {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	return append([]index.Ask{}, keeper.asks...)
}

func (keeper *keeper) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	defer GinkgoRecover()
	var forwarded contract.Ask
	var ask index.Ask
	content, _ := io.ReadAll(request.Body)
	Expect(json.Unmarshal(content, &forwarded)).To(Succeed())
	Expect(forwarded.Verb).To(Equal(contract.VerbPlace))
	Expect(json.Unmarshal(forwarded.Body, &ask)).To(Succeed())
	keeper.lock.Lock()
	keeper.asks = append(keeper.asks, ask)
	keeper.lock.Unlock()
	keeper.answer(writer, ask)
}

var long = []string{"X-Token-Usage", "14000,10", "X-Model", "m", "X-Prompt-Prefix", "contract:13000,own:1000"}

// keeping is a stage of four model servers whose node asks a keeper.
func keeping(answer func(http.ResponseWriter, index.Ask)) (*stage, *keeper) {
	GinkgoHelper()
	return keepingFor(4*time.Second, answer)
}

func keepingFor(contact time.Duration, answer func(http.ResponseWriter, index.Ask)) (*stage, *keeper) {
	GinkgoHelper()
	made, keeper, stop := stagedFor(contact, 4, fine), &keeper{answer: answer}, make(chan struct{})
	control := httptest.NewServer(keeper)
	DeferCleanup(func() {
		close(stop)
		control.CloseClientConnections()
		control.Close()
	})
	made.shell.AskAt(strings.TrimPrefix(control.URL, "http://"), stop)
	configured := routes(3)
	configured.Manifest.Gateway.Services["s"] = manifest.Service{Engine: &manifest.Engine{Slots: 48, Tokens: 300000, Stride: 5}}
	made.shell.Learn(configured)
	made.shell.Learn(gateway.IndexReachability{OwnerKnown: true})
	return made, keeper
}

// kinds tells of each question whether it was for what is known alone.
func kinds(asks []index.Ask) []bool {
	known := []bool{}
	for _, ask := range asks {
		known = append(known, ask.Known)
	}
	return known
}

func gives(writer http.ResponseWriter, ask index.Ask, server string) {
	_ = json.NewEncoder(writer).Encode(index.Place{Key: ask.Key, Server: server})
}

func (stage *stage) whole(path string) string {
	GinkgoHelper()
	response, content, failure := stage.ask(path, "b", long...)
	Expect(failure).NotTo(HaveOccurred())
	Expect([]any{response.StatusCode, content}).To(Equal([]any{200, "whole"}))
	calls := stage.took()
	return calls[len(calls)-1].server
}

var _ = Describe("a call with a long shared prompt", func() {
	It("given a control node that answers, when calls come, then they go to the place, asked for once", func() {
		place := ""
		stage, keeper := keeping(func(writer http.ResponseWriter, ask index.Ask) {
			place = ask.Candidates[len(ask.Candidates)-1]
			gives(writer, ask, place)
		})
		for range 3 {
			Expect(stage.whole("/write/x")).To(Equal(place))
		}
		Expect(keeper.asked()).To(HaveLen(1))
		Expect(keeper.asked()[0].Candidates).To(HaveLen(3), "until it is known where short prompts go, one server of four is left to them")
		Expect(keeper.asked()[0].Key.Scope).To(HavePrefix("s"))
		_, _, failure := stage.ask("/write/x", "b", append(long[:4:4], "X-Prompt-Prefix", "other:13000,own:1000")...)
		Expect(failure).NotTo(HaveOccurred())
		Expect(keeper.asked()).To(HaveLen(2), "another prompt is asked for at once")
	})

	It("given a control node that refuses, when calls come, then each goes by the shared order after one question, and is not sent twice", func() {
		stage, keeper := keeping(func(writer http.ResponseWriter, _ index.Ask) { writer.WriteHeader(404) })
		for calls := range 3 {
			Expect(stage.whole("/write/x")).To(Equal(keeper.asked()[0].Candidates[0]))
			Expect(keeper.asked()).To(HaveLen(calls + 1))
		}
		Expect(stage.took()).To(HaveLen(3), "no call is sent twice for it")
		Expect(stage.shell.Counts()).NotTo(HaveKey("places_unanswered"), "a refusal is not waited for")
	})

	It("given a near replica, when it does not know the prompt, then the owner is asked after it, and when it does, nobody else is", func() {
		knows := atomic.Bool{}
		stage, keeper := keepingFor(10*time.Minute, func(writer http.ResponseWriter, ask index.Ask) {
			if ask.Known && !knows.Load() {
				writer.WriteHeader(404)
				return
			}
			gives(writer, ask, "server3")
		})
		stage.shell.Learn(gateway.IndexReachability{OwnerKnown: true, ReplicaNear: true})
		Expect(stage.whole("/write/x")).To(Equal("server3"))
		Expect(kinds(keeper.asked())).To(Equal([]bool{true, false}))
		knows.Store(true)
		_, _, failure := stage.ask("/write/x", "b", append(long[:4:4], "X-Prompt-Prefix", "other:13000,own:1000")...)
		Expect(failure).NotTo(HaveOccurred())
		Expect(kinds(keeper.asked())).To(Equal([]bool{true, false, true}))
		Expect(stage.shell.Counts()).NotTo(HaveKey("places_unanswered"))
	})

	It("given a near replica that does not answer, when calls come, then the owner is asked after its patience, and at once by later ones", func() {
		late := make(chan struct{})
		stage, keeper := keeping(func(writer http.ResponseWriter, ask index.Ask) {
			if ask.Known {
				<-late
				return
			}
			writer.WriteHeader(404)
		})
		defer close(late)
		stage.shell.Learn(gateway.IndexReachability{OwnerKnown: true, ReplicaNear: true})
		stage.whole("/write/x")
		stage.whole("/write/x")
		Expect(kinds(keeper.asked())).To(Equal([]bool{true, false, false}))
		Expect(stage.shell.Counts()["places_unanswered"]).To(Equal(int64(1)))
	})

	for name, answer := range map[string]func(http.ResponseWriter, index.Ask){
		"fails":                func(writer http.ResponseWriter, _ index.Ask) { writer.WriteHeader(503) },
		"names no server":      func(writer http.ResponseWriter, _ index.Ask) { _, _ = io.WriteString(writer, "{}") },
		"says what is no JSON": func(writer http.ResponseWriter, _ index.Ask) { _, _ = io.WriteString(writer, "<html>") },
		"breaks its answer": func(writer http.ResponseWriter, _ index.Ask) {
			conn, _, failure := writer.(http.Hijacker).Hijack()
			Expect(failure).NotTo(HaveOccurred())
			_ = conn.Close()
		},
	} {
		It("given a control node that "+name+", when calls come, then they go by the shared order and it is left alone for a while", func() {
			stage, keeper := keeping(answer)
			for range 3 {
				Expect(stage.whole("/write/x")).To(Equal(keeper.asked()[0].Candidates[0]))
			}
			Expect(keeper.asked()).To(HaveLen(1))
			Expect(stage.took()).To(HaveLen(3), "no call is sent twice for it")
			Expect(stage.shell.Counts()).NotTo(HaveKey("places_unanswered"), "a refusal is not waited for")
		})
	}

	It("given a control node that does not answer, when a call has waited for its patience, then it goes by the shared order", func() {
		late := make(chan struct{})
		stage, keeper := keeping(func(http.ResponseWriter, index.Ask) { <-late })
		defer close(late)
		Expect(stage.whole("/write/x")).To(Equal(keeper.asked()[0].Candidates[0]))
		Expect(stage.shell.Counts()["places_unanswered"]).To(Equal(int64(1)))
		Expect(stage.took()).To(HaveLen(1))
	})

	It("given a caller that leaves while its node asks, when it has left, then no server gets the call, and a late answer serves later ones", func() {
		asked, late := make(chan struct{}), make(chan struct{})
		release := sync.OnceFunc(func() { close(late) })
		defer release()
		stage, keeper := keeping(func(writer http.ResponseWriter, ask index.Ask) {
			close(asked)
			<-late
			gives(writer, ask, ask.Candidates[2])
		})
		ctx, leave := context.WithCancel(context.Background())
		go func() {
			<-asked
			leave()
		}()
		_, failure := http.DefaultClient.Do(stage.request("/write/x", "b", long...).WithContext(ctx))
		Expect(failure).To(HaveOccurred())
		Eventually(stage.shell.Running).Should(BeZero())
		Expect(stage.took()).To(BeEmpty())
		Expect(stage.shell.Counts()).NotTo(HaveKey("places_unanswered"), "it does not wait for its patience")
		release()
		Eventually(stage.shell.Counts).Should(HaveKeyWithValue("places_answered", int64(1)))
		Expect(stage.whole("/write/x")).To(Equal(keeper.asked()[0].Candidates[2]))
		Expect(keeper.asked()).To(HaveLen(1))
	})
})
