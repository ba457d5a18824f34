// Package harness holds the helpers that the behaviour tests below stories share: starting a fleet of a site, sending operator requests
// and checking the ledger at the end. The tests run the in-memory fleet; each topic is a package of its own so that go test runs them in
// parallel.
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

// gcPercent is the garbage collection target of the test processes: collecting less often costs memory and saves time.
const gcPercent = 600

// RunSuite runs all specs of a test package under the given suite name.
func RunSuite(t *testing.T, name string) {
	debug.SetGCPercent(gcPercent)
	RegisterFailHandler(Fail)
	RunSpecs(t, name)
}

// SiteNames lists the sites below deploy that the tests run on.
var SiteNames = []string{"brazos", "seri"}

// LoadSite reads the description of a site from its folder below deploy; it fails the spec if that is invalid.
func LoadSite(name string) site.Site {
	loaded, err := site.Load("../../deploy/" + name)
	Expect(err).NotTo(HaveOccurred())
	return loaded
}

// StartReadyFleet starts an in-memory fleet of a site and returns it once it serves calls; the seed determines the whole run.
func StartReadyFleet(name string, seed uint64, options ...fleet.Option) *fleet.Fleet {
	GinkgoHelper()
	testFleet := fleet.New(LoadSite(name), seed, options...)
	Expect(testFleet.StartAndServe()).To(BeTrue(), "the fleet serves")
	return testFleet
}

// ExpectNoBreaches closes the fleet: it waits for what is pending, reads back every accepted write and runs the ledger's final checks. It
// fails the spec if the ledger found a breach of a rule, and prints the first five.
func ExpectNoBreaches(testFleet *fleet.Fleet) {
	GinkgoHelper()
	breaches := testFleet.Close()
	for index, breach := range breaches {
		if index < 5 {
			GinkgoWriter.Println(breach.Rule, breach.At, breach.Detail)
		}
	}
	Expect(breaches).To(BeEmpty(), testFleet.Ledger.Stats.Summary())
}

// OutcomeCounts returns how many calls of a class ended with each outcome; it is empty for a class without calls.
func OutcomeCounts(testFleet *fleet.Fleet, class string) map[string]int {
	stats := testFleet.Ledger.Stats.Classes[class]
	if stats == nil {
		return map[string]int{}
	}
	return stats.Outcomes
}

// EncodeJSON returns the JSON encoding of a value and fails the spec if there is none.
func EncodeJSON(value any) []byte {
	content, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	return content
}

// HomeRegion returns the first region of the site, which the tests use as the home of their calls.
func HomeRegion(testFleet *fleet.Fleet) string { return testFleet.Site.Regions()[0] }

// SendPatch sends the numbered test patch of the configuration to a machine and waits for the result.
func SendPatch(testFleet *fleet.Fleet, machine *fleet.Machine, number int) fleet.WriteRecord {
	return testFleet.WriteAndWait(machine, testFleet.HarmlessPatch(number))
}

// ChainView returns the control plane's current view of the replication chain. It repeats the request through the given machine until the
// view is returned, for up to 30 s.
func ChainView(testFleet *fleet.Fleet, machine *fleet.Machine) contract.View {
	GinkgoHelper()
	var response contract.Response
	Expect(testFleet.RunUntil(30*time.Second, func() bool {
		response = testFleet.Operate(machine, contract.OperatorRequest{Verb: contract.VerbChain})
		return response.Status == 200
	})).To(BeTrue(), "an authority answers")
	return response.Body.(map[string]any)["view"].(contract.View)
}

// PoolServers returns the servers of a pool.
func PoolServers(testFleet *fleet.Fleet, pool string) []*fleet.Server {
	servers := []*fleet.Server{}
	for _, server := range testFleet.Servers {
		if server.Pool == pool {
			servers = append(servers, server)
		}
	}
	return servers
}

// ModelServers returns the servers of the first server's pool: the models of the first region.
func ModelServers(testFleet *fleet.Fleet) []*fleet.Server {
	return PoolServers(testFleet, testFleet.Servers[0].Pool)
}

// CountUnloaded returns how many of the servers an unload order has unloaded.
func CountUnloaded(servers []*fleet.Server) int {
	count := 0
	for _, server := range servers {
		if server.Unloaded() {
			count++
		}
	}
	return count
}
