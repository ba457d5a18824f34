package shard

import (
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestShard(test *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(test, "shard")
}

var _ = ginkgo.Describe("the index of kept prompts at a shard's owner", func() {
	owning := func() *Owner {
		owner := New(contract.Member{Name: "node", Region: "east"}, env.DefaultBounds())
		owner.servers["a"] = &knowledge{}
		return owner
	}

	ginkgo.It("given many nodes that found one index wrong, when they tell it, then it is thrown away once", func() {
		owner := owning()
		for node := time.Duration(0); node < 12; node++ {
			owner.throwIndex(time.Second+node*time.Millisecond, map[string]int64{"a": 0})
		}
		Expect(owner.servers["a"].cache).To(Equal(int64(1)))
	})

	ginkgo.It("given an index that was thrown away, when it is found wrong again, then not before all nodes could know of the first", func() {
		owner := owning()
		owner.throwIndex(time.Second, map[string]int64{"a": 0})
		owner.throwIndex(2*time.Second, map[string]int64{"a": 1})
		Expect(owner.servers["a"].cache).To(Equal(int64(1)))
		owner.throwIndex(time.Second+env.DefaultBounds().Withdraw(), map[string]int64{"a": 1})
		Expect(owner.servers["a"].cache).To(Equal(int64(2)))
	})

	ginkgo.It("given a new owner that knows no count, when a node tells a higher one, then the count goes on from there", func() {
		owner := owning()
		owner.throwIndex(time.Second, map[string]int64{"a": 7, "gone": 3})
		Expect(owner.servers["a"].cache).To(Equal(int64(8)))
		Expect(owner.servers).To(HaveLen(1))
	})
})
