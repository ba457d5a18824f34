package review

import . "github.com/onsi/ginkgo/v2"

var _ = Describe("the cases of the second review", func() {
	PIt("fleetbench run serilaluan-cedar.toml review/4/day.toml, seeds 1, 2, 3")
})
