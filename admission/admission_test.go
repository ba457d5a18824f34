package admission

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

const (
	memoryBytes = 96 << 20
	openFiles   = 400
)

var limits = Limits{HeadBytes: 16 << 10, HeadTime: 3 * time.Second, IdleTime: 15 * time.Second, BodyTime: 8 * time.Second, AnswerTime: 20 * time.Second}

// harness passes events to a state at a time that the test sets.
type harness struct {
	state *State
	now   time.Duration
}

func newHarness() *harness {
	return &harness{state: New(GatewayBudget(memoryBytes, openFiles), limits)}
}

// handle returns the connections that an event ends, by their identity.
func (harness *harness) handle(event contract.Event) map[ConnID]End {
	ends := map[ConnID]End{}
	for _, command := range harness.state.Handle(harness.now, event) {
		if end, ok := command.(End); ok {
			ends[end.Conn] = end
		}
	}
	return ends
}

// begin opens a connection and reads an ordinary head.
func (harness *harness) begin(id ConnID) {
	GinkgoHelper()
	Expect(harness.handle(Opened{Conn: id, Class: Callers})).NotTo(HaveKey(id))
	Expect(harness.handle(Received{Conn: id, Bytes: 400, Lines: 10})).NotTo(HaveKey(id))
	Expect(harness.handle(RequestBegan{Conn: id, Bytes: 400, Lines: 10})).NotTo(HaveKey(id))
}

// upload reads a part of a body.
func (harness *harness) upload(id ConnID, bytes int64) map[ConnID]End {
	ends := harness.handle(Wanted{Conn: id, Bytes: bytes})
	harness.handle(Received{Conn: id, Bytes: bytes})
	return ends
}

var _ = Describe("connections", func() {
	It("given all connections of a class in use, when another one comes, then the one that has been idle for longest is closed", func() {
		harness := newHarness()
		most := harness.state.budget.Connections[Callers]
		for id := range ConnID(most) {
			harness.begin(id)
			harness.handle(RequestRead{Conn: id})
			if id > 0 {
				harness.handle(RequestEnded{Conn: id})
			}
			harness.now += 10 * time.Millisecond
		}
		harness.now += time.Second
		ends := harness.handle(Opened{Conn: 1000, Class: Callers})
		Expect(ends).To(Equal(map[ConnID]End{1: {Conn: 1, Class: Callers, Reason: ReasonConnections}}), "connection 0 runs a request")
		Expect(harness.state.Open(Callers)).To(Equal(most))
	})

	It("given all connections of a class with running requests, when another one comes, then it is closed and other classes are not concerned", func() {
		harness := newHarness()
		most := ConnID(harness.state.budget.Connections[Callers])
		for id := range most {
			harness.begin(id)
			harness.handle(RequestRead{Conn: id})
		}
		harness.now += time.Minute
		Expect(harness.handle(Opened{Conn: most, Class: Callers})).To(HaveKeyWithValue(most, End{Conn: most, Class: Callers, Reason: ReasonConnections}))
		Expect(harness.handle(Opened{Conn: most + 1, Class: Peers})).To(BeEmpty())
	})

	It("given an ended connection, when it goes on, then it is told so again until it is closed", func() {
		harness := newHarness()
		harness.begin(1)
		harness.now += time.Minute
		Expect(harness.handle(contract.Tick{})).To(HaveKey(ConnID(1)))
		Expect(harness.handle(Wanted{Conn: 1, Bytes: 1})).To(HaveKey(ConnID(1)))
		harness.handle(Closed{Conn: 1})
		Expect(harness.handle(Wanted{Conn: 1, Bytes: 1})).To(BeEmpty())
	})
})

var _ = Describe("memory", func() {
	It("given stalled bodies that hold the memory, when a small request comes, then it is taken and what holds the most gives way", func() {
		harness := newHarness()
		for id := range ConnID(16) {
			harness.begin(id)
			Expect(harness.upload(id, 1<<20)).To(BeEmpty())
		}
		harness.now += 3 * time.Second
		for id := ConnID(100); id < 200; id++ {
			harness.begin(id)
			Expect(harness.upload(id, 64<<10)).NotTo(HaveKey(id))
			harness.handle(RequestRead{Conn: id})
		}
		Expect(harness.state.Held(Callers)).To(BeNumerically("<=", harness.state.budget.Memory[Callers]))
	})

	It("given bodies that make progress, when the memory is used, then the next large one is refused with 503 and a small one is taken", func() {
		harness := newHarness()
		refused := map[ConnID]End{}
		for id := range ConnID(30) {
			harness.begin(id)
			for range 16 {
				for conn, end := range harness.upload(id, 64<<10) {
					refused[conn] = end
				}
			}
		}
		Expect(refused).NotTo(BeEmpty())
		Expect(refused).NotTo(HaveKey(ConnID(0)))
		for _, end := range refused {
			Expect(end).To(And(HaveField("Status", http.StatusServiceUnavailable), HaveField("Reason", ReasonMemory)))
		}
		harness.begin(100)
		Expect(harness.upload(100, 64<<10)).NotTo(HaveKey(ConnID(100)))
	})

	It("given a request that no empty process could take, when it comes, then it is refused with 413", func() {
		harness := newHarness()
		harness.begin(1)
		Expect(harness.upload(1, memoryBytes)).To(HaveKeyWithValue(ConnID(1), HaveField("Status", http.StatusRequestEntityTooLarge)))
	})

	It("given clients that send on while their requests run, when the memory does not suffice, then only such clients are ended", func() {
		harness := newHarness()
		harness.begin(0)
		harness.handle(RequestRead{Conn: 0})
		ended := 0
		for id := ConnID(1); id < 160; id++ {
			harness.begin(id)
			harness.handle(RequestRead{Conn: id})
			ends := harness.handle(Received{Conn: id, Bytes: 1})
			Expect(ends).NotTo(HaveKey(ConnID(0)))
			if end, found := ends[id]; found {
				Expect(end).To(Equal(End{Conn: id, Class: Callers, Reason: ReasonMemory}))
				ended++
			}
		}
		Expect(ended).To(BeNumerically(">", 0))
		Expect(harness.state.Held(Callers)).To(BeNumerically("<=", harness.state.budget.Memory[Callers]))
	})

	It("given a head of many short lines, when it arrives, then each line costs more than its bytes", func() {
		harness := newHarness()
		harness.handle(Opened{Conn: 1, Class: Callers})
		before := harness.state.Held(Callers)
		harness.handle(Received{Conn: 1, Bytes: 4096, Lines: 1024})
		Expect(harness.state.Held(Callers) - before).To(BeNumerically(">", 64*4096))
	})

	It("given a request, when it has ended, then its memory is free again", func() {
		harness := newHarness()
		harness.handle(Opened{Conn: 1, Class: Callers})
		idle := harness.state.Held(Callers)
		for range 3 {
			harness.handle(Received{Conn: 1, Bytes: 400, Lines: 10})
			harness.handle(RequestBegan{Conn: 1, Bytes: 4000, Lines: 100})
			harness.upload(1, 1<<20)
			harness.handle(RequestRead{Conn: 1})
			harness.handle(RequestEnded{Conn: 1})
			Expect(harness.state.Held(Callers)).To(Equal(idle))
		}
		harness.handle(Closed{Conn: 1})
		Expect(harness.state.Held(Callers)).To(BeZero())
	})
})

var _ = Describe("times", func() {
	It("given an idle connection, when four fifths of the limit are over, then it stays, and it is closed after the limit", func() {
		harness := newHarness()
		harness.begin(1)
		harness.handle(RequestRead{Conn: 1})
		harness.handle(RequestEnded{Conn: 1})
		harness.now += limits.IdleTime * 4 / 5
		Expect(harness.handle(contract.Tick{})).To(BeEmpty())
		harness.now += limits.IdleTime/5 + time.Millisecond
		Expect(harness.handle(contract.Tick{})).To(HaveKeyWithValue(ConnID(1), End{Conn: 1, Class: Callers, Reason: ReasonIdle}))
	})

	It("given a head or a body that comes slowly, when its time is over, then it is ended with 408", func() {
		harness := newHarness()
		harness.handle(Opened{Conn: 1, Class: Callers})
		harness.now += 4 * time.Second
		harness.handle(Received{Conn: 1, Bytes: 10})
		harness.begin(2)
		harness.now += limits.HeadTime
		Expect(harness.handle(contract.Tick{})).To(BeEmpty(), "the time of a head runs from its first byte")
		harness.now += time.Millisecond
		Expect(harness.handle(contract.Tick{})).To(HaveKeyWithValue(ConnID(1), End{Conn: 1, Class: Callers, Status: 408, Reason: ReasonHeadTime}))
		harness.now += limits.BodyTime
		Expect(harness.handle(contract.Tick{})).To(HaveKeyWithValue(ConnID(2), End{Conn: 2, Class: Callers, Status: 408, Reason: ReasonBodyTime}))
	})

	It("given a request that runs, when time passes, then it is never ended", func() {
		harness := newHarness()
		harness.begin(1)
		harness.handle(RequestRead{Conn: 1})
		harness.now += time.Hour
		Expect(harness.handle(contract.Tick{})).To(BeEmpty())
	})

	It("given an answer that its client does not take, when its time is over, then it is closed, and before that it gives way to others", func() {
		harness := newHarness()
		harness.begin(1)
		harness.handle(RequestRead{Conn: 1})
		harness.handle(AnswerStalled{Conn: 1})
		harness.now += limits.AnswerTime
		Expect(harness.handle(contract.Tick{})).To(BeEmpty())
		harness.handle(AnswerTaken{Conn: 1})
		harness.now += time.Hour
		Expect(harness.handle(contract.Tick{})).To(BeEmpty())
		harness.handle(AnswerStalled{Conn: 1})
		harness.now += limits.AnswerTime + time.Millisecond
		Expect(harness.handle(contract.Tick{})).To(HaveKeyWithValue(ConnID(1), End{Conn: 1, Class: Callers, Reason: ReasonAnswerTime}))
		harness.begin(2)
		harness.handle(RequestRead{Conn: 2})
		harness.handle(AnswerStalled{Conn: 2})
		harness.now += 10 * time.Second
		for id := ConnID(3); harness.state.Open(Callers) < harness.state.budget.Connections[Callers]; id++ {
			harness.handle(Opened{Conn: id, Class: Callers})
		}
		Expect(harness.handle(Opened{Conn: 1000, Class: Callers})).To(HaveKey(ConnID(2)))
	})

	It("given changed limits, when a head is larger, then it is ended with 431", func() {
		harness := newHarness()
		harness.handle(LimitsChanged{Class: Callers, Limits: Limits{HeadBytes: 1 << 10}})
		harness.handle(Opened{Conn: 1, Class: Callers})
		Expect(harness.handle(Received{Conn: 1, Bytes: 6 << 10})).To(HaveKeyWithValue(ConnID(1), HaveField("Status", 431)))
		harness.handle(Opened{Conn: 2, Class: Directory})
		Expect(harness.handle(Received{Conn: 2, Bytes: 6 << 10})).To(BeEmpty())
	})
})

// walk plays random events of many connections and checks after each that no class takes more than its budget and no running request is ended.
func walk(seed uint64) {
	GinkgoHelper()
	const steps, ids = 20000, 600
	random, harness, running := rand.New(rand.NewPCG(seed, 1)), newHarness(), map[ConnID]bool{}
	for range steps {
		harness.now += time.Duration(random.Int64N(int64(20 * time.Millisecond)))
		id, size := ConnID(random.IntN(ids)), random.Int64N(1<<random.IntN(21))
		event := []contract.Event{Opened{Conn: id, Class: Class(random.IntN(int(classCount)))}, Received{Conn: id, Bytes: size % 4096, Lines: size % 100},
			RequestBegan{Conn: id, Bytes: 400, Lines: 10}, Wanted{Conn: id, Bytes: size}, RequestRead{Conn: id}, RequestEnded{Conn: id}, Closed{Conn: id}, contract.Tick{}}[random.IntN(8)]
		conn, known := harness.state.connections[id]
		if _, opens := event.(Opened); opens && known {
			continue
		}
		switch event.(type) {
		case Wanted, RequestBegan:
			if running[id] {
				continue
			}
		}
		ends := harness.handle(event)
		for ended := range ends {
			_, received := event.(Received)
			Expect(running[ended] && (!received || ended != id)).To(BeFalse(), "a running request was ended")
			delete(running, ended)
		}
		switch event.(type) {
		case RequestRead:
			running[id] = known && conn.ended == nil
		case RequestEnded, Closed:
			delete(running, id)
		}
		harness.expectSums()
	}
	for id := range ConnID(ids) {
		harness.handle(Closed{Conn: id})
	}
	harness.expectSums()
	for class := range classCount {
		Expect([]int64{int64(harness.state.Open(class)), harness.state.Held(class)}).To(Equal([]int64{0, 0}))
	}
}

// expectSums checks the sums of all classes against the connections and the budget.
func (harness *harness) expectSums() {
	GinkgoHelper()
	var open [classCount]int
	var held [classCount]int64
	for _, conn := range harness.state.connections {
		held[conn.class] += conn.held
		if conn.ended == nil {
			open[conn.class]++
		}
	}
	for class := range classCount {
		if open[class] != harness.state.Open(class) || held[class] != harness.state.Held(class) ||
			open[class] > harness.state.budget.Connections[class] || held[class] > harness.state.budget.Memory[class] {
			Fail("the sums of " + class.String() + " are wrong or over the budget")
		}
	}
}

var _ = It("given random events of many connections, when they are handled, then no class takes more than its budget and no running request is ended", func() {
	for seed := range uint64(20) {
		walk(seed)
	}
})
