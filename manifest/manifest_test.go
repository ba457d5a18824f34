package manifest

import (
	"os"
	"strings"
	"testing"

	"github.com/cedarreel/cedarreel/document"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestManifest(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "manifest")
}

const validManifest = `{"regions":{"r":{"shards":2,"machines":["m1"]}},"zones":{"h":{"region":"r"}},
"pools":{"p":{"region":"r","slots":4,"scale":3}},"routes":{"c":{"class":"short","pools":{"r":"p"}}},"homes":{"desk":"r"}}`

var _ = DescribeTable("an invalid manifest is refused with the path of what is wrong", func(from, to, path string) {
	_, err := Parse([]byte(strings.Replace(validManifest, from, to, 1)))
	Expect(err).To(MatchError(ContainSubstring(path)))
},
	Entry("unknown field", `"slots":4`, `"slotz":4`, "pools.p.slotz: unknown field"),
	Entry("unknown field at the top", `"homes"`, `"hones"`, "hones: unknown field"),
	Entry("key given twice", `"slots":4`, `"slots":4,"slots":5`, "pools.p.slots: key given twice"),
	Entry("trailing data", `"homes":{"desk":"r"}}`, `"homes":{"desk":"r"}} {}`, "data after the end"),
	Entry("wrong type", `"slots":4`, `"slots":"4"`, "pools.p.slots: want a whole number"),
	Entry("a fraction", `"slots":4`, `"slots":4.5`, "pools.p.slots: want a whole number"),
	Entry("out of range", `"slots":4`, `"slots":0`, "pools.p.slots: want 1 to 4096"),
	Entry("far out of range", `"slots":4`, `"slots":99999999999999999999`, "pools.p.slots"),
	Entry("a zone of no region", `"zones":{"h":{"region":"r"}}`, `"zones":{"h":{"region":"x"}}`, `zones.h.region: no such region "x"`),
	Entry("a route to no pool", `{"r":"p"}`, `{"r":"q"}`, `routes.c.pools.r: no such pool "q"`),
	Entry("a home that is no region", `{"desk":"r"}`, `{"desk":"x"}`, "homes.desk: no such region"),
	Entry("not an object", validManifest, `[]`, "want a JSON object"),
	Entry("not JSON", validManifest, `{"regions":`, "not JSON"),
	Entry("an unknown class", `"short"`, `"tiny"`, "routes.c.class"),
	Entry("a name with a dot", `"desk"`, `"de.sk"`, "homes.de.sk"),
	Entry("missing machines", `,"machines":["m1"]`, ``, "regions.r.machines: is missing"),
)

var _ = Describe("a manifest", func() {
	It("returns all errors at once", func() {
		_, err := Parse([]byte(strings.NewReplacer(`"slots":4`, `"slots":0`, `"desk":"r"`, `"desk":"x"`).Replace(validManifest)))
		Expect(err.Error()).To(ContainSubstring("pools.p.slots"))
		Expect(err.Error()).To(ContainSubstring("homes.desk"))
	})

	It("keeps numbers exact and applies merge patches one after the other", func() {
		tree, err := ParseObject([]byte(`{"a":{"b":12345678901234567890,"c":1},"d":1}`))
		Expect(err).NotTo(HaveOccurred())
		first, _ := ParseObject([]byte(`{"a":{"c":2}}`))
		second, _ := ParseObject([]byte(`{"d":null,"a":{"e":{"f":true}}}`))
		former, err := document.FromObject(tree)
		Expect(err).NotTo(HaveOccurred())
		change, err := former.MergePatch(first)
		Expect(err).NotTo(HaveOccurred())
		next := former.Apply(change)
		change, err = next.MergePatch(second)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(next.Apply(change).JSON())).To(Equal(`{"a":{"b":12345678901234567890,"c":2,"e":{"f":true}}}`))
		Expect(string(former.JSON())).To(ContainSubstring(`"c":1`), "the former document is unchanged")
	})

	for _, name := range []string{"brazos", "seri"} {
		It("of the deployment "+name+" is valid", func() {
			content, err := os.ReadFile("../deploy/" + name + "/manifest.json")
			Expect(err).NotTo(HaveOccurred())
			parsed, err := Parse(content)
			Expect(err).NotTo(HaveOccurred())
			Expect(parsed.Zones).To(HaveLen(3))
			Expect(parsed.Routes).To(HaveLen(3))
		})
	}

	It("binds a caller to its home region and refuses another", func() {
		parsed, err := Parse([]byte(validManifest))
		Expect(err).NotTo(HaveOccurred())
		home, ok := parsed.Home("desk", "", "elsewhere")
		Expect([]any{home, ok}).To(Equal([]any{"r", true}))
		_, ok = parsed.Home("desk", "moon", "r")
		Expect(ok).To(BeFalse())
		_, ok = parsed.Home("other", "moon", "r")
		Expect(ok).To(BeFalse())
	})
})

func FuzzRead(f *testing.F) {
	f.Add([]byte(validManifest))
	f.Add([]byte(`{"regions":{"":{}},"zones":null}`))
	f.Add([]byte(strings.Repeat(`{"a":`, 40)))
	f.Add([]byte(`{"a":1,"a":2}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		parsed, err := Parse(content)
		if err != nil {
			return
		}
		for _, pool := range parsed.Pools {
			if _, found := parsed.Regions[pool.Region]; !found || pool.Slots < 1 {
				t.Fatal("an invalid manifest was accepted")
			}
		}
		tree, err := ParseObject(content)
		if err != nil {
			t.Fatal(err)
		}
		again, err := document.FromObject(tree)
		if err != nil {
			t.Fatal(err)
		}
		if _, err = Parse(again.JSON()); err != nil {
			t.Fatal("an accepted manifest is refused after it was written and read again:", err)
		}
	})
}
