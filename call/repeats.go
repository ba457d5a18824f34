package call

// RetryBudget limits retries and hedges to a small share of first attempts. Each first attempt deposits credit, and each retry
// or hedge withdraws some. The zero value allows none until Configure is called.
type RetryBudget struct {
	sharePercent int64
	burst        int64
	credit       int64
}

// retryCost is the credit that one retry takes. A first attempt deposits the share in percent, so credit counts hundredths of a retry.
const retryCost = 100

// Configure sets the share of first attempts that may be retried, in percent, and the number of retries that may accumulate. The
// first configuration grants one retry, if burst allows it.
func (budget *RetryBudget) Configure(sharePercent, burst int64) {
	if budget.sharePercent == 0 && budget.credit == 0 {
		budget.credit = min(burst, 1) * retryCost
	}
	budget.sharePercent, budget.burst = sharePercent, burst
}

// Deposit adds the credit of one first attempt.
func (budget *RetryBudget) Deposit() {
	budget.credit = min(budget.credit+budget.sharePercent, budget.burst*retryCost)
}

// TryWithdraw takes the credit of one retry and reports whether there was enough.
func (budget *RetryBudget) TryWithdraw() bool {
	if budget.credit < retryCost {
		return false
	}
	budget.credit -= retryCost
	return true
}
