package gateway

import (
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("what a try's end says of the call", func(outcome Outcome, execution Execution, repeatsUnsafe bool) {
	Expect(outcome.Execution()).To(Equal(execution))
	Expect(outcome.mayRepeat(false)).To(Equal(repeatsUnsafe), "a call that must not run twice")
	Expect(outcome.mayRepeat(true)).To(BeTrue(), "a call that may run twice")
},
	Entry("nothing was written", Unsent, NeverSent, true),
	Entry("the server says that it did not run it", NotRun, NeverSent, true),
	Entry("another server has the address", Moved, NeverSent, true),
	Entry("a whole answer", Whole, Ran, false),
	Entry("a broken answer, a reset, a silence", Broken, MayHaveRun, false),
	Entry("the caller left", Left, MayHaveRun, false),
	Entry("its time is over", Late, MayHaveRun, false),
	Entry("an outcome that is not known here", Outcome("other"), MayHaveRun, false),
)
