package answers

import (
	"strings"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAnswers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "answers")
}

const (
	// memory and processor are what the smallest machine of the users grants.
	memory    = 284 << 20
	processor = 0.4
	readBytes = 4 << 10
	faulty    = "faulty"
	sound     = "sound"
)

// run is a state with its clock and what became of each answer.
type run struct {
	state  *State
	now    time.Duration
	ended  map[ID]Reason
	paused map[ID]time.Duration
	lines  []contract.Log
	counts map[string]int64
}

func newRun() *run {
	return &run{state: New(NewBudget(memory, processor)), now: time.Minute, ended: map[ID]Reason{}, paused: map[ID]time.Duration{}, counts: map[string]int64{}}
}

func (run *run) handle(event contract.Event) (pause time.Duration) {
	for _, command := range run.state.Handle(run.now, event) {
		switch command := command.(type) {
		case End:
			run.ended[command.Answer] = command.Reason
		case Pause:
			run.paused[command.Answer] += command.Duration
			pause = command.Duration
		case contract.Log:
			run.lines = append(run.lines, command)
		case contract.AddCounter:
			run.counts[command.Name] += command.Delta
		}
	}
	return pause
}

// begin begins an answer whose head was read.
func (run *run) begin(id ID, server string) {
	run.handle(Began{Answer: id, Server: server})
	run.handle(Received{Answer: id, HeadBytes: 300, HeadLines: 6})
}

// flood lets an answer have reads of so many lines, one after the other without time between them but its pauses, until it is ended.
func (run *run) flood(id ID, lines int64) (received int64) {
	for reads := 0; reads < 1<<20 && run.ended[id] == ""; reads++ {
		run.now += run.handle(Received{Answer: id, Bytes: readBytes, Lines: lines})
		received += readBytes
	}
	return received
}

var _ = Describe("the limits of answers", func() {
	It("given a head without end, when it is read, then the answer is ended within one read beyond its bound", func() {
		for _, lines := range []int64{0, 400, readBytes} {
			run := newRun()
			run.handle(Began{Answer: 1, Server: faulty})
			received := 0
			for ; run.ended[1] == "" && received <= maxHeadBytes; received += readBytes {
				run.now += run.handle(Received{Answer: 1, HeadBytes: readBytes, HeadLines: lines})
			}
			Expect(received).To(BeNumerically("<=", maxHeadBytes+readBytes))
			Expect(run.ended[1]).To(Equal(ReasonHeadSize))
			Expect(run.state.Held()).To(BeZero())
		}
	})

	It("given heads without end in number, when they are read, then together they keep within the memory", func() {
		run, highest := newRun(), int64(0)
		for id := ID(1); id <= 1000; id++ {
			run.handle(Began{Answer: id, Server: faulty})
			for range maxHeadBytes / readBytes {
				run.handle(Received{Answer: id, HeadBytes: readBytes, HeadLines: maxHeadLines * readBytes / maxHeadBytes})
				highest = max(highest, run.state.Held())
			}
		}
		Expect(highest).To(BeNumerically("<=", memory*memoryShare+readBytes*headLineCost))
	})

	It("given an answer that costs without end, when it is read, then it is paused and ended, whatever its form", func() {
		for _, lines := range []int64{2, 500, readBytes} {
			run := newRun()
			run.begin(1, faulty)
			run.flood(1, lines)
			Expect(run.ended[1]).To(Equal(ReasonPace))
			Expect(run.paused[1]).To(And(BeNumerically(">", 0), BeNumerically("<=", maxPaused)))
		}
	})

	It("given floods of many servers, when they are read for four seconds, then they take less than the processor's quota", func() {
		const span = 4 * time.Second
		run, spent, id := newRun(), time.Duration(0), ID(0)
		free := map[ID]time.Duration{}
		open := []ID{}
		for began := run.now; run.now < began+span; run.now += time.Millisecond {
			for len(open) < 20 {
				id++
				run.begin(id, faulty+string(rune('a'+id%9)))
				open = append(open, id)
			}
			for index, answer := range open {
				if free[answer] > run.now {
					continue
				}
				pause := run.handle(Received{Answer: answer, Bytes: readBytes, Lines: 900})
				spent += processorCost(Received{Bytes: readBytes, Lines: 900})
				free[answer] = run.now + pause
				if run.ended[answer] != "" {
					run.handle(Ended{Answer: answer})
					open[index] = 0
				}
			}
			kept := []ID{}
			for _, answer := range open {
				if answer != 0 {
					kept = append(kept, answer)
				}
			}
			open = kept
		}
		Expect(float64(spent) / float64(span)).To(BeNumerically("<", processor))
	})

	It("given streams at the pace of a model server, when others flood, then no stream is paused or ended", func() {
		run := newRun()
		const streams, eventBytes, eventLines = 100, 480 + 16, 5
		for id := ID(1); id <= streams; id++ {
			run.begin(id, sound)
		}
		flood := ID(streams)
		for range 400 {
			run.now += 25 * time.Millisecond
			flood++
			run.begin(flood, faulty)
			started := run.now
			run.flood(flood, 900)
			run.handle(Ended{Answer: flood})
			run.now = started
			for id := ID(1); id <= streams; id++ {
				run.handle(Received{Answer: id, Bytes: eventBytes, Lines: eventLines})
			}
		}
		for id := ID(1); id <= streams; id++ {
			Expect(run.ended).NotTo(HaveKey(id))
			Expect(run.paused).NotTo(HaveKey(id))
		}
	})

	It("given the largest reply, when its server sends it at once beside the flood of another, then it is not ended", func() {
		run := newRun()
		run.begin(1, faulty)
		run.flood(1, 900)
		run.begin(2, sound)
		const replyBytes, largestRead = 16 << 20, 32 << 10
		for held := int64(0); held < replyBytes; held += largestRead {
			run.now += run.handle(Received{Answer: 2, Bytes: largestRead, Lines: 1})
			run.handle(Held{Answer: 2, Bytes: held + largestRead})
		}
		Expect(run.ended).NotTo(HaveKey(ID(2)))
	})

	It("given answers that keep too much together, when one more byte is kept, then the largest is ended and small ones are not", func() {
		run := newRun()
		const small = 64 << 10
		for id := ID(1); id <= 100; id++ {
			run.begin(id, sound)
			run.handle(Held{Answer: id, Bytes: small})
		}
		for id := ID(101); id <= 110; id++ {
			run.begin(id, faulty)
			run.handle(Held{Answer: id, Bytes: 8 << 20})
			Expect(run.state.Held()).To(BeNumerically("<=", int64(memory*memoryShare)))
		}
		for id := range run.ended {
			Expect(id).To(BeNumerically(">", 100))
			Expect(run.ended[id]).To(Equal(ReasonMemory))
		}
		Expect(run.ended).NotTo(BeEmpty())
	})

	It("given answers that end, when they are forgotten, then nothing is held and no server is remembered for long", func() {
		run := newRun()
		for id := ID(1); id <= 50; id++ {
			run.begin(id, strings.Repeat("s", int(id)))
			run.handle(Held{Answer: id, Bytes: 1 << 20})
			run.handle(Ended{Answer: id})
		}
		Expect(run.state.Held()).To(BeZero())
		run.now += time.Minute
		run.begin(51, sound)
		Expect(run.state.servers).To(HaveLen(1))
	})

	It("given a server that meets bounds again and again, when that is told, then each is counted and the log names server and bound now and then", func() {
		run := newRun()
		for id := ID(1); id <= 10; id++ {
			run.begin(id, faulty)
			run.handle(Exceeded{Answer: id, Reason: ReasonEventSize})
			run.now += time.Second
		}
		run.handle(LateBytes{Server: sound})
		Expect(run.counts).To(Equal(map[string]int64{"server_answers_ended_event_size": 10, "server_answers_ended_late_bytes": 1, "faulty_answers_" + faulty: 10, "faulty_answers_" + sound: 1}))
		Expect(run.lines).To(HaveLen(3))
		Expect(run.lines[1].Attributes).To(Equal([]any{"server", faulty, "bound", "event_size", "answers", int64(5)}))
		Expect(run.lines[2].Attributes[1]).To(Equal(sound))
	})
})
