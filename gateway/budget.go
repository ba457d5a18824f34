package gateway

import "time"

// budget bounds further tries: a share of the calls of a sliding window and a part of the allowance that all nodes have together.
type budget struct {
	slot  time.Duration
	calls [budgetSlots]float64
	tries [budgetSlots]float64
	place int64
}

const budgetSlots = 10

// safety is the part of a limit shared by all nodes that is used: calls and tries are counted at other moments than here.
const safety = 0.5

func newBudget(window time.Duration) *budget { return &budget{slot: window / budgetSlots} }

func (budget *budget) turn(now time.Duration) int {
	place := int64(now / budget.slot)
	for budget.place = max(budget.place, place-budgetSlots); budget.place < place; budget.place++ {
		budget.calls[(budget.place+1)%budgetSlots], budget.tries[(budget.place+1)%budgetSlots] = 0, 0
	}
	return int(place % budgetSlots)
}

func (budget *budget) called(now time.Duration) { budget.calls[budget.turn(now)]++ }

func (budget *budget) take(now time.Duration, ratio, allowance float64) bool {
	place, calls, tries := budget.turn(now), 0.0, 0.0
	for index := range budget.calls {
		calls, tries = calls+budget.calls[index], tries+budget.tries[index]
	}
	if tries+1 > safety*(calls*ratio+allowance) {
		return false
	}
	budget.tries[place]++
	return true
}
