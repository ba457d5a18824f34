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
	owning := func() *Manager {
		manager := New(contract.Member{Name: "node", Region: "east"}, env.DefaultBounds())
		manager.servers["a"] = &serverState{}
		return manager
	}

	ginkgo.It("given many nodes that found one index wrong, when they report it, then it is invalidated once", func() {
		manager := owning()
		for node := time.Duration(0); node < 12; node++ {
			manager.invalidateCacheIndex(time.Second+node*time.Millisecond, map[string]int64{"a": 0})
		}
		Expect(manager.servers["a"].cacheGeneration).To(Equal(int64(1)))
	})

	ginkgo.It("given an invalidated index, when it is found wrong again, then it is not invalidated before all nodes could know of the first time", func() {
		manager := owning()
		manager.invalidateCacheIndex(time.Second, map[string]int64{"a": 0})
		manager.invalidateCacheIndex(2*time.Second, map[string]int64{"a": 1})
		Expect(manager.servers["a"].cacheGeneration).To(Equal(int64(1)))
		manager.invalidateCacheIndex(time.Second+env.DefaultBounds().Withdraw(), map[string]int64{"a": 1})
		Expect(manager.servers["a"].cacheGeneration).To(Equal(int64(2)))
	})

	ginkgo.It("given a new owner that knows no generation, when a node reports a higher one, then the generation continues from there", func() {
		manager := owning()
		manager.invalidateCacheIndex(time.Second, map[string]int64{"a": 7, "gone": 3})
		Expect(manager.servers["a"].cacheGeneration).To(Equal(int64(8)))
		Expect(manager.servers).To(HaveLen(1))
	})
})
