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

var _ = ginkgo.Describe("the generation of a server's cache index at its shard's owner", func() {
	owning := func() *Owner {
		owner := New(contract.Member{Name: "node", Region: "east"}, env.DefaultBounds())
		owner.servers["a"] = &serverState{}
		return owner
	}

	ginkgo.It("given many nodes that found one index wrong, when they report it, then it is invalidated once", func() {
		owner := owning()
		for node := time.Duration(0); node < 12; node++ {
			owner.invalidateCacheIndex(time.Second+node*time.Millisecond, map[string]int64{"a": 0})
		}
		Expect(owner.servers["a"].cacheGeneration).To(Equal(int64(1)))
	})

	ginkgo.It("given an invalidated index, when it is found wrong again, then it is not invalidated before all nodes could know of the first time", func() {
		owner := owning()
		owner.invalidateCacheIndex(time.Second, map[string]int64{"a": 0})
		owner.invalidateCacheIndex(2*time.Second, map[string]int64{"a": 1})
		Expect(owner.servers["a"].cacheGeneration).To(Equal(int64(1)))
		owner.invalidateCacheIndex(time.Second+env.DefaultBounds().Withdraw(), map[string]int64{"a": 1})
		Expect(owner.servers["a"].cacheGeneration).To(Equal(int64(2)))
	})

	ginkgo.It("given a new owner that knows no generation, when a node reports a higher one, then the generation continues from there", func() {
		owner := owning()
		owner.invalidateCacheIndex(time.Second, map[string]int64{"a": 7, "gone": 3})
		Expect(owner.servers["a"].cacheGeneration).To(Equal(int64(8)))
		Expect(owner.servers).To(HaveLen(1))
	})
})
