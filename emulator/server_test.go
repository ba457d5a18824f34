package emulator

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/emulator/rules"
	"github.com/cedarreel/cedarreel/engine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// asked is what one request sent straight to a server brought.
type asked struct {
	head   serverHead
	pieces []rules.Piece
	first  time.Duration
	whole  bool
	closed bool
	conn   *conn
	try    *rules.Attempt
}

type bench struct {
	day    *Day
	server *server
	count  int
}

func benched(change func(*Service)) *bench {
	site := small("brazos")
	service := site.Services[0]
	engine := *service.Engine
	service.Engine = &engine
	service.Servers = []Group{{Zone: "prairie-a", Count: 1}}
	change(&service)
	site.Services = []Service{service}
	day := New(site, 1)
	return &bench{day: day, server: day.serversInOrder[0]}
}

func (bench *bench) ask(target string, pieces, urgency int, parts ...engine.Part) *asked {
	bench.count++
	one := &asked{try: &rules.Attempt{Identity: fmt.Sprint("t", bench.count), TotalPieces: pieces, Stream: true}}
	prompt := engine.Prompt{Model: "m", Parts: parts, Output: int64(pieces * bench.server.service.Engine.Stride)}
	for _, part := range parts {
		prompt.Input += part.Tokens
	}
	query := &serverRequest{request: &request{attempt: one.try, prompt: prompt, size: 100}, target: target, timeout: 8 * time.Second, priorityClass: urgency, machine: bench.day.machines[0],
		sent: bench.day.world.Now}
	query.head = func(head serverHead) { one.head = head }
	query.complete = func() { one.whole = true }
	query.piece = func(piece rules.Piece) {
		if one.first == 0 {
			one.first = bench.day.world.Now
		}
		one.pieces = append(one.pieces, piece)
	}
	bench.day.world.dial(bench.day.machines[0].place(), bench.server.place(), time.Second, bench.server.accept, func(opened *conn) {
		if opened == nil {
			one.closed = true
			return
		}
		one.conn = opened
		opened.onClose[dialer] = func() { one.closed = true }
		opened.send(dialer, 100, func() { bench.server.receive(opened, query) })
	})
	return one
}

func (bench *bench) run(span time.Duration) { bench.day.world.RunUntil(bench.day.world.Now + span) }

func part(id string, tokens int64) engine.Part { return engine.Part{ID: id, Tokens: tokens} }

func unchanged(*Service) {}

var _ = Describe("a batching server", func() {
	It("reads a shared part once, and the rest of each prompt", func() {
		bench := benched(unchanged)
		first := bench.ask(bench.server.name, 3, -1, part("terms", 20000), part("own-1", 100))
		bench.run(2 * time.Second)
		began := bench.day.world.Now
		second := bench.ask(bench.server.name, 3, -1, part("terms", 20000), part("own-2", 100))
		bench.run(2 * time.Second)
		Expect(first.whole && second.whole).To(BeTrue())
		Expect(first.pieces).To(HaveLen(3))
		Expect(bench.day.readTokens).To(Equal(int64(20200)))
		Expect(second.first - began).To(BeNumerically("<", first.first/3))
	})

	It("makes each token more slowly while it reads another prompt", func() {
		bench := benched(unchanged)
		alone := bench.ask(bench.server.name, 20, -1, part("own-1", 100))
		bench.run(2 * time.Second)
		began := bench.day.world.Now
		beside := bench.ask(bench.server.name, 20, -1, part("own-2", 100))
		bench.ask(bench.server.name, 1, -1, part("long", 40000))
		bench.run(3 * time.Second)
		last := len(alone.pieces) - 1
		Expect(beside.pieces[last].MadeAt - began).To(BeNumerically(">", alone.pieces[last].MadeAt+300*time.Millisecond))
	})

	It("lets the part go that was unused for the longest", func() {
		bench := benched(func(service *Service) { service.Engine.Tokens = 50000 })
		for _, id := range []string{"one", "two", "one", "three"} {
			bench.ask(bench.server.name, 1, -1, part(id, 20000), part("own", 10))
			bench.run(2 * time.Second)
		}
		read := bench.day.readTokens
		bench.ask(bench.server.name, 1, -1, part("one", 20000), part("own", 10))
		bench.run(2 * time.Second)
		Expect(bench.day.readTokens-read).To(BeNumerically("<", 100), "one was used since two was")
		Expect(bench.day.rereadTokens).To(BeZero())
		bench.ask(bench.server.name, 1, -1, part("two", 20000), part("own", 10))
		bench.run(2 * time.Second)
		Expect(bench.day.rereadTokens).To(Equal(int64(20000)))
	})

	It("puts the newest of the least urgent back when memory runs out, and ends it later whole", func() {
		bench := benched(func(service *Service) { service.Engine.Tokens = 400 })
		urgent := bench.ask(bench.server.name, 25, 0, part("own-1", 180))
		patient := bench.ask(bench.server.name, 25, 9, part("own-2", 180))
		bench.run(5 * time.Second)
		Expect(bench.day.preemptions).To(BeNumerically(">", 0))
		Expect(urgent.whole && patient.whole).To(BeTrue())
		Expect(urgent.pieces[24].MadeAt).To(BeNumerically("<", patient.pieces[24].MadeAt))
		Expect(patient.pieces).To(HaveLen(25))
	})

	It("turns away what is larger than its memory, or comes when slots and queue are full", func() {
		bench := benched(func(service *Service) { service.Slots, service.Queue = 2, 1 })
		large := bench.ask(bench.server.name, 1, -1, part("own", 1000000))
		bench.run(time.Second / 10)
		Expect(large.head.notRun).To(BeTrue())
		all := []*asked{}
		for range 4 {
			all = append(all, bench.ask(bench.server.name, 50, -1, part("own", 100)))
		}
		bench.run(5 * time.Second)
		turned := 0
		for _, one := range all {
			if one.head.notRun {
				turned++
			}
		}
		Expect(turned).To(Equal(1))
	})

	It("refuses what is meant for another", func() {
		bench := benched(unchanged)
		one := bench.ask("model-99", 1, -1, part("own", 10))
		bench.run(time.Second)
		Expect(one.head.wrongServer).To(BeTrue())
		Expect(bench.day.record.Arrivals[0].Executed).To(BeFalse())
	})

	It("resets more connections than it takes", func() {
		bench := benched(func(service *Service) { service.Connections = 2 })
		all := []*asked{}
		for range 3 {
			all = append(all, bench.ask(bench.server.name, 200, -1, part("own", 10)))
			bench.run(time.Millisecond * 20)
		}
		Expect([]bool{all[0].closed, all[1].closed, all[2].closed}).To(Equal([]bool{false, false, true}))
	})

	It("drops a request when its connection closes", func() {
		bench := benched(unchanged)
		one := bench.ask(bench.server.name, 200, -1, part("own", 10))
		bench.run(200 * time.Millisecond)
		one.conn.close(dialer)
		bench.run(200 * time.Millisecond)
		Expect(bench.server.running).To(BeEmpty())
		Expect(bench.server.batch.cached).To(HaveLen(1))
	})

	It("tells a load that is late", func() {
		bench := benched(unchanged)
		bench.ask(bench.server.name, 100, -1, part("own-1", 10))
		bench.run(120 * time.Millisecond)
		second := bench.ask(bench.server.name, 100, -1, part("own-2", 10))
		bench.run(120 * time.Millisecond)
		third := bench.ask(bench.server.name, 1, -1, part("own-3", 10))
		bench.run(120 * time.Millisecond)
		Expect(second.head.load.Running).To(Equal(int64(2)))
		Expect(third.head.load.Running).To(BeNumerically("<=", 3))
	})

	It("falls over when cold and well above its rate", func() {
		bench := benched(func(service *Service) { service.ColdPerS = 2 })
		bench.server.coldUntil = time.Minute
		for range 8 {
			bench.ask(bench.server.name, 1, -1, part("own", 10))
		}
		bench.run(time.Second)
		Expect(bench.server.up).To(BeFalse())
	})

	It("is silent while dark and goes on afterwards", func() {
		bench := benched(unchanged)
		one := bench.ask(bench.server.name, 20, -1, part("own", 10))
		bench.run(100 * time.Millisecond)
		reconnect, came := bench.day.world.isolate(bench.server.name), len(one.pieces)
		bench.run(time.Second)
		Expect(one.pieces).To(HaveLen(came))
		reconnect()
		bench.run(time.Second)
		Expect(one.whole).To(BeTrue())
		for index, piece := range one.pieces {
			Expect(piece.Number).To(Equal(index + 1))
		}
	})
})

var _ = Describe("the list of servers", func() {
	It("is late, and shows what leaves before it is gone", func() {
		bench := benched(unchanged)
		bench.run(time.Second)
		bench.server.leave(4*time.Second, true)
		rows, _, _ := bench.day.list.page(0)
		Expect(rows[0].Leaving).To(BeFalse())
		bench.run(time.Second)
		rows, _, _ = bench.day.list.page(0)
		Expect(rows[0].Leaving).To(BeTrue())
		Expect(rows[0].RemainingMs).To(BeNumerically("~", 3000, 10))
		bench.run(5 * time.Second)
		rows, _, _ = bench.day.list.page(0)
		Expect(rows).To(BeEmpty())
	})

	It("takes so many questions a second", func() {
		bench, fine := benched(unchanged), 0
		for range 60 {
			if _, _, answered := bench.day.list.page(0); answered {
				fine++
			}
		}
		Expect(fine).To(Equal(47))
	})
})
