package control

import (
	"fmt"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	"github.com/cedarreel/cedarreel/manifest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func gatewaySection(revision int64, routes string) []byte {
	return []byte(fmt.Sprintf(`{"regions":{"east":{"shards":1,"machines":[]}},"zones":{"east-a":{"region":"east"}},"gateway":{"revision":%d,"routes":{%s},"services":{"s":{}}}}`, revision, routes))
}

// versionOf returns a version with the given content.
func versionOf(revision int64, content string) contract.Version {
	GinkgoHelper()
	parsed, err := document.Parse([]byte(content))
	Expect(err).NotTo(HaveOccurred())
	return contract.NewVersion(contract.Position{View: 1, Revision: revision}, contract.OperationID("first", "f"), parsed)
}

// applyRequest returns the version that a write creates from a previous one.
func applyRequest(previous contract.Version, verb string, body []byte) contract.Version {
	GinkgoHelper()
	change, _, _, err := buildChange(contract.OperatorRequest{Verb: verb, Body: body}, parseVersion(previous))
	Expect(err).NotTo(HaveOccurred())
	return previous.Next(contract.Position{View: 1, Revision: previous.Position.Revision + 1}, contract.OperationID("first", "f"), change)
}

const oneRoute = `"r":{"host":"h","prefix":"/","timeoutMs":1000,"service":"s"}`

var _ = Describe("a change of the gateway's configuration", func() {
	latest := func() contract.Version {
		return applyRequest(contract.Version{}, contract.VerbReplace, gatewaySection(5, oneRoute))
	}

	for _, verb := range []string{contract.VerbReplace, contract.VerbUpdate} {
		DescribeTable("given revision 5, when a "+verb+" has another one, then only a higher one is accepted", func(revision int64, accepted bool) {
			body := gatewaySection(revision, oneRoute)
			if verb == contract.VerbUpdate {
				body = []byte(fmt.Sprintf(`{"gateway":{"revision":%d,"upsert":{},"remove":{}}}`, revision))
			}
			_, _, _, err := buildChange(contract.OperatorRequest{Verb: verb, Body: body}, parseVersion(latest()))
			if accepted {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(err).To(MatchError(ContainSubstring("gateway.revision")))
		}, Entry("lower", int64(4), false), Entry("the same", int64(5), false), Entry("the next", int64(6), true), Entry("a later one", int64(60), true))
	}

	It("given a write that is not based on the current revision, then its base is stale", func() {
		for base, stale := range map[int64]bool{0: true, 4: true, 5: false, 6: true} {
			Expect(staleBase(contract.OperatorRequest{Verb: contract.VerbReplace, BaseRevision: base}, parseVersion(latest())) != "").To(Equal(stale), "base %d", base)
		}
		Expect(staleBase(contract.OperatorRequest{Verb: contract.VerbReplace, BaseRevision: 0}, parseVersion(contract.Version{}))).To(BeEmpty())
		Expect(staleBase(contract.OperatorRequest{Verb: contract.VerbDrain, BaseRevision: 0}, parseVersion(latest()))).To(BeEmpty())
	})

	It("given a drained zone, when the whole configuration is replaced, then the zone stays drained and is not withdrawn again", func() {
		version := latest()
		change, _, drains, err := buildChange(contract.OperatorRequest{Verb: contract.VerbDrain, Subject: "east-a"}, parseVersion(version))
		Expect(err).NotTo(HaveOccurred())
		Expect(drains).To(HaveKey("east-a"))
		drained := version.Next(contract.Position{View: 1, Revision: 2}, "", change)
		change, next, drains, err := buildChange(contract.OperatorRequest{Verb: contract.VerbReplace, Body: gatewaySection(6, "")}, parseVersion(drained))
		Expect(err).NotTo(HaveOccurred())
		Expect(drains).To(BeEmpty())
		parsed, err := manifest.FromDocument(drained.Document().Apply(change))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Drained("east-a")).To(BeTrue())
		Expect(parsed.Gateway.Routes.Len()).To(BeZero())
		Expect(next.Drained("east-a")).To(BeTrue())
		Expect(next.Gateway.Routes.Len()).To(BeZero())
	})

	It("given a change that names an unknown service, then it is refused", func() {
		body := []byte(`{"gateway":{"revision":6,"upsert":{"routes":{"q":{"host":"h","prefix":"/q/","timeoutMs":1,"service":"none"}}}}}`)
		_, _, _, err := buildChange(contract.OperatorRequest{Verb: contract.VerbUpdate, Body: body}, parseVersion(latest()))
		Expect(err).To(MatchError(ContainSubstring("gateway.routes.q.service")))
	})
})
