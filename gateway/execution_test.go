package gateway

import (
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("what the outcome of a dispatch says about execution", func(outcome Outcome, execution Execution, repeatsUnsafe bool) {
	Expect(outcome.Execution()).To(Equal(execution))
	Expect(outcome.mayRetry(false)).To(Equal(repeatsUnsafe), "a call that must not run twice")
	Expect(outcome.mayRetry(true)).To(BeTrue(), "a call that may run twice")
},
	Entry("nothing was written", OutcomeNotSent, NeverRan, true),
	Entry("the server says that it did not run it", OutcomeNotRun, NeverRan, true),
	Entry("another server has the address", OutcomeWrongServer, NeverRan, true),
	Entry("a complete answer", OutcomeComplete, Ran, false),
	Entry("a broken answer, a reset, no answer", OutcomeBroken, MayHaveRun, false),
	Entry("the caller left", OutcomeCallerLeft, MayHaveRun, false),
	Entry("its time is over", OutcomeDeadlineExceeded, MayHaveRun, false),
	Entry("an unknown outcome", Outcome("other"), MayHaveRun, false),
)
