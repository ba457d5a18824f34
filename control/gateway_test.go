package control

import (
	"encoding/json"
	"fmt"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func section(revision int64, routes string) []byte {
	return []byte(fmt.Sprintf(`{"regions":{"east":{"shards":1,"machines":[]}},"zones":{"east-a":{"region":"east"}},"gateway":{"revision":%d,"routes":{%s},"services":{"s":{}}}}`, revision, routes))
}

const oneRoute = `"r":{"host":"h","prefix":"/","timeoutMs":1000,"service":"s"}`

var _ = Describe("a change of the gateway's configuration", func() {
	latest := func() contract.Version {
		content, _, failure := compose(contract.Ask{Verb: contract.VerbReplace, Body: section(5, oneRoute)}, readNewest(contract.Version{}))
		Expect(failure).NotTo(HaveOccurred())
		return contract.Version{Place: contract.Place{View: 1, Revision: 1}, Manifest: content}
	}

	for _, verb := range []string{contract.VerbReplace, contract.VerbUpdate} {
		DescribeTable("given revision 5, when a "+verb+" has another one, then only a higher one is taken", func(revision int64, taken bool) {
			body := section(revision, oneRoute)
			if verb == contract.VerbUpdate {
				body = []byte(fmt.Sprintf(`{"gateway":{"revision":%d,"upsert":{},"remove":{}}}`, revision))
			}
			_, _, failure := compose(contract.Ask{Verb: verb, Body: body}, readNewest(latest()))
			if taken {
				Expect(failure).NotTo(HaveOccurred())
				return
			}
			Expect(failure).To(MatchError(ContainSubstring("gateway.revision")))
		}, Entry("lower", int64(4), false), Entry("the same", int64(5), false), Entry("the next", int64(6), true), Entry("a later one", int64(60), true))
	}

	It("given a change on another base than the current one, when it is looked at, then it is overtaken", func() {
		for base, late := range map[int64]bool{0: true, 4: true, 5: false, 6: true} {
			Expect(overtaken(contract.Ask{Verb: contract.VerbReplace, Base: base}, readNewest(latest())) != "").To(Equal(late), "base %d", base)
		}
		Expect(overtaken(contract.Ask{Verb: contract.VerbReplace, Base: 0}, readNewest(contract.Version{}))).To(BeEmpty())
		Expect(overtaken(contract.Ask{Verb: contract.VerbDrain, Base: 0}, readNewest(latest()))).To(BeEmpty())
	})

	It("given a drained zone, when a whole configuration comes, then the zone stays drained and is not withdrawn again", func() {
		version := latest()
		drained, drains, failure := compose(contract.Ask{Verb: contract.VerbDrain, Subject: "east-a"}, readNewest(version))
		Expect(failure).NotTo(HaveOccurred())
		Expect(drains).To(HaveKey("east-a"))
		next, drains, failure := compose(contract.Ask{Verb: contract.VerbReplace, Body: section(6, "")}, readNewest(contract.Version{Place: contract.Place{View: 1, Revision: 2}, Manifest: json.RawMessage(drained)}))
		Expect(failure).NotTo(HaveOccurred())
		Expect(drains).To(BeEmpty())
		read, failure := manifest.Read(next)
		Expect(failure).NotTo(HaveOccurred())
		Expect(read.Drained("east-a")).To(BeTrue())
		Expect(read.Gateway.Routes).To(BeEmpty())
	})

	It("given a change that names an unknown service, when it is composed, then nothing of it is taken", func() {
		body := []byte(`{"gateway":{"revision":6,"upsert":{"routes":{"q":{"host":"h","prefix":"/q/","timeoutMs":1,"service":"none"}}}}}`)
		content, _, failure := compose(contract.Ask{Verb: contract.VerbUpdate, Body: body}, readNewest(latest()))
		Expect(failure).To(MatchError(ContainSubstring("gateway.routes.q.service")))
		Expect(content).To(BeNil())
	})
})
