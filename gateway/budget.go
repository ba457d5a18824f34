package gateway

import "time"

// retryBudget limits the retries of one service at this node: within a sliding window, to a ratio of the calls plus this node's part of the allowance
// that all nodes share. The window is divided into slots, which are reused in a ring.
type retryBudget struct {
	slotLength time.Duration
	calls      [budgetSlots]float64
	retries    [budgetSlots]float64
	// currentSlot is the number of the last slot that was cleared for use, counted since time 0.
	currentSlot int64
}

// budgetSlots is the number of slots that a window is divided into.
const budgetSlots = 10

// safetyFactor is the part of the limit that is used. The limit holds for all nodes together, and whoever checks it counts calls and retries at other
// moments than this node does.
const safetyFactor = 0.5

func newRetryBudget(window time.Duration) *retryBudget {
	return &retryBudget{slotLength: window / budgetSlots}
}

// advance clears the slots that have fallen out of the window and returns the index of the current one.
func (budget *retryBudget) advance(now time.Duration) int {
	slot := int64(now / budget.slotLength)
	for budget.currentSlot = max(budget.currentSlot, slot-budgetSlots); budget.currentSlot < slot; budget.currentSlot++ {
		budget.calls[(budget.currentSlot+1)%budgetSlots], budget.retries[(budget.currentSlot+1)%budgetSlots] = 0, 0
	}
	return int(slot % budgetSlots)
}

func (budget *retryBudget) recordCall(now time.Duration) { budget.calls[budget.advance(now)]++ }

// takeRetry reports whether one more retry is within the limit, and counts it if so. Ratio is the number of retries per call; allowance is the number
// of retries in a window that need no calls.
func (budget *retryBudget) takeRetry(now time.Duration, ratio, allowance float64) bool {
	slot, calls, retries := budget.advance(now), 0.0, 0.0
	for index := range budget.calls {
		calls, retries = calls+budget.calls[index], retries+budget.retries[index]
	}
	if retries+1 > safetyFactor*(calls*ratio+allowance) {
		return false
	}
	budget.retries[slot]++
	return true
}
