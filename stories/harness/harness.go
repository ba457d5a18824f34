// Package harness holds what the stories share: fleets of a site, orders of an operator and what is wanted at the end. The stories say, in
// given-when-then over the in-memory fleet, what must never
// happen and that it does not; they stand in packages of their own so that they run side by side.
package harness

import (
	"encoding/json"
	"runtime/debug"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/site"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const garbage = 600

// Run runs a package of stories.
func Run(t *testing.T, name string) {
	debug.SetGCPercent(garbage)
	RegisterFailHandler(Fail)
	RunSpecs(t, name)
}

var Sites = []string{"brazos", "seri"}

func SiteOf(name string) site.Site {
	described, err := site.Load("../../deploy/" + name)
	Expect(err).NotTo(HaveOccurred())
	return described
}

// Given is a fleet of a site that serves.
func Given(name string, seed uint64, options ...fleet.Option) *fleet.Fleet {
	GinkgoHelper()
	started := fleet.New(SiteOf(name), seed, options...)
	Expect(started.Ready()).To(BeTrue(), "the fleet serves")
	return started
}

// NothingWrong ends a story: patience, a read-back of all that was accepted, and the ledger's last look.
func NothingWrong(played *fleet.Fleet) {
	GinkgoHelper()
	breaches := played.Close()
	for index, breach := range breaches {
		if index < 5 {
			GinkgoWriter.Println(breach.Rule, breach.At, breach.Detail)
		}
	}
	Expect(breaches).To(BeEmpty(), played.Ledger.Stats.Summary())
}

func Outcomes(played *fleet.Fleet, class string) map[string]int {
	known := played.Ledger.Stats.Classes[class]
	if known == nil {
		return map[string]int{}
	}
	return known.Outcomes
}

func Text(value any) []byte {
	content, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	return content
}

func Home(played *fleet.Fleet) string { return played.Site.Regions()[0] }

func Patched(played *fleet.Fleet, machine *fleet.Machine, number int) fleet.Written {
	return played.Do(machine, played.Patch(number))
}

// ChainView asks the authority for the core's view, as long as it takes for one to answer.
func ChainView(played *fleet.Fleet, machine *fleet.Machine) contract.View {
	GinkgoHelper()
	var answer contract.Response
	Expect(played.Until(30*time.Second, func() bool {
		answer = played.Operate(machine, contract.OperatorRequest{Verb: contract.VerbChain})
		return answer.Status == 200
	})).To(BeTrue(), "an authority answers")
	return answer.Body.(map[string]any)["view"].(contract.View)
}

// Pool gives the servers of a pool; ModelPool those of the first region's models.
func Pool(played *fleet.Fleet, pool string) []*fleet.Server {
	servers := []*fleet.Server{}
	for _, server := range played.Servers {
		if server.Pool == pool {
			servers = append(servers, server)
		}
	}
	return servers
}

func ModelPool(played *fleet.Fleet) []*fleet.Server { return Pool(played, played.Servers[0].Pool) }

func Unloaded(servers []*fleet.Server) int {
	count := 0
	for _, server := range servers {
		if server.Unloaded() {
			count++
		}
	}
	return count
}
