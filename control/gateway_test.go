package control

import (
	"fmt"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	"github.com/cedarreel/cedarreel/manifest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func section(revision int64, routes string) []byte {
	return []byte(fmt.Sprintf(`{"regions":{"east":{"shards":1,"machines":[]}},"zones":{"east-a":{"region":"east"}},"gateway":{"revision":%d,"routes":{%s},"services":{"s":{}}}}`, revision, routes))
}

// versionOf gives a version with a whole content.
func versionOf(revision int64, content string) contract.Version {
	GinkgoHelper()
	read, failure := document.Parse([]byte(content))
	Expect(failure).NotTo(HaveOccurred())
	return contract.NewVersion(contract.Position{View: 1, Revision: revision}, contract.OperationID("first", "f"), read)
}

// composed gives the version that an order makes of a former one.
func composed(former contract.Version, verb string, body []byte) contract.Version {
	GinkgoHelper()
	change, _, _, failure := compose(contract.OperatorRequest{Verb: verb, Body: body}, readNewest(former))
	Expect(failure).NotTo(HaveOccurred())
	return former.Next(contract.Position{View: 1, Revision: former.Position.Revision + 1}, contract.OperationID("first", "f"), change)
}

const oneRoute = `"r":{"host":"h","prefix":"/","timeoutMs":1000,"service":"s"}`

var _ = Describe("a change of the gateway's configuration", func() {
	latest := func() contract.Version {
		return composed(contract.Version{}, contract.VerbReplace, section(5, oneRoute))
	}

	for _, verb := range []string{contract.VerbReplace, contract.VerbUpdate} {
		DescribeTable("given revision 5, when a "+verb+" has another one, then only a higher one is taken", func(revision int64, taken bool) {
			body := section(revision, oneRoute)
			if verb == contract.VerbUpdate {
				body = []byte(fmt.Sprintf(`{"gateway":{"revision":%d,"upsert":{},"remove":{}}}`, revision))
			}
			_, _, _, failure := compose(contract.OperatorRequest{Verb: verb, Body: body}, readNewest(latest()))
			if taken {
				Expect(failure).NotTo(HaveOccurred())
				return
			}
			Expect(failure).To(MatchError(ContainSubstring("gateway.revision")))
		}, Entry("lower", int64(4), false), Entry("the same", int64(5), false), Entry("the next", int64(6), true), Entry("a later one", int64(60), true))
	}

	It("given a change on another base than the current one, when it is looked at, then it is overtaken", func() {
		for base, late := range map[int64]bool{0: true, 4: true, 5: false, 6: true} {
			Expect(overtaken(contract.OperatorRequest{Verb: contract.VerbReplace, BaseRevision: base}, readNewest(latest())) != "").To(Equal(late), "base %d", base)
		}
		Expect(overtaken(contract.OperatorRequest{Verb: contract.VerbReplace, BaseRevision: 0}, readNewest(contract.Version{}))).To(BeEmpty())
		Expect(overtaken(contract.OperatorRequest{Verb: contract.VerbDrain, BaseRevision: 0}, readNewest(latest()))).To(BeEmpty())
	})

	It("given a drained zone, when a whole configuration comes, then the zone stays drained and is not withdrawn again", func() {
		version := latest()
		change, _, drains, failure := compose(contract.OperatorRequest{Verb: contract.VerbDrain, Subject: "east-a"}, readNewest(version))
		Expect(failure).NotTo(HaveOccurred())
		Expect(drains).To(HaveKey("east-a"))
		drained := version.Next(contract.Position{View: 1, Revision: 2}, "", change)
		change, next, drains, failure := compose(contract.OperatorRequest{Verb: contract.VerbReplace, Body: section(6, "")}, readNewest(drained))
		Expect(failure).NotTo(HaveOccurred())
		Expect(drains).To(BeEmpty())
		read, failure := manifest.FromDocument(drained.Document().Apply(change))
		Expect(failure).NotTo(HaveOccurred())
		Expect(read.Drained("east-a")).To(BeTrue())
		Expect(read.Gateway.Routes.Len()).To(BeZero())
		Expect(next.Drained("east-a")).To(BeTrue())
		Expect(next.Gateway.Routes.Len()).To(BeZero())
	})

	It("given a change that names an unknown service, when it is composed, then nothing of it is taken", func() {
		body := []byte(`{"gateway":{"revision":6,"upsert":{"routes":{"q":{"host":"h","prefix":"/q/","timeoutMs":1,"service":"none"}}}}}`)
		_, _, _, failure := compose(contract.OperatorRequest{Verb: contract.VerbUpdate, Body: body}, readNewest(latest()))
		Expect(failure).To(MatchError(ContainSubstring("gateway.routes.q.service")))
	})
})
