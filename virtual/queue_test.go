package virtual

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestVirtual(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "virtual")
}

var _ = Describe("the event queue", func() {
	It("is empty at first and after the last event", func() {
		queue := Queue[string]{}
		_, found := queue.NextTime()
		Expect(found).To(BeFalse())
		queue.Push(0, "only")
		at, found := queue.NextTime()
		Expect(found).To(BeTrue())
		Expect(at).To(BeZero())
		Expect(queue.Pop()).To(Equal("only"))
		_, found = queue.NextTime()
		Expect(found).To(BeFalse())
	})

	It("returns events of the same time in the order in which they were pushed", func() {
		queue := Queue[int]{}
		for number := range 100 {
			queue.Push(time.Second, number)
		}
		for number := range 100 {
			Expect(queue.Pop()).To(Equal(number))
		}
	})

	It("returns what a stable sort by time returns, for random pushes and pops", func() {
		type entry struct {
			at     time.Duration
			number int
		}
		for seed := range uint64(20) {
			random, queue, model, number := rand.New(rand.NewPCG(seed, 1)), Queue[entry]{}, []entry{}, 0
			for range 2000 {
				if random.IntN(5) < 3 {
					number++
					made := entry{time.Duration(random.IntN(30)), number}
					queue.Push(made.at, made)
					model = append(model, made)
					slices.SortStableFunc(model, func(left, right entry) int { return int(left.at - right.at) })
					continue
				}
				at, found := queue.NextTime()
				Expect(found).To(Equal(len(model) > 0))
				if found {
					Expect(at).To(Equal(model[0].at))
					Expect(queue.Pop()).To(Equal(model[0]))
					model = model[1:]
				}
			}
		}
	})
})
