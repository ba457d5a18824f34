package listing

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "listing")
}

const listing = `{"region":"r","complete":true,"servers":[{"name":"s","address":"10.0.0.1:1","zone":"h","pool":"p","incarnation":"1","leaving":true,"remainingMs":900}]}`
const report = `{"server":"s","incarnation":"1","number":7,"running":1,"waiting":2,"prefixes":["a"],"complete":true,"ageMs":5}`

var _ = DescribeTable("a broken listing is refused", func(from, to string) {
	_, err := ParseListing([]byte(strings.Replace(listing, from, to, 1)), "r")
	Expect(err).To(HaveOccurred())
},
	Entry("not complete", `"complete":true`, `"complete":false`),
	Entry("of another region", `"region":"r"`, `"region":"x"`),
	Entry("without servers", `"servers"`, `"server"`),
	Entry("cut short", `"remainingMs":900}]}`, ``),
	Entry("a server without an incarnation", `"incarnation":"1",`, ``),
	Entry("a server without a name", `"name":"s"`, `"name":""`),
	Entry("a flag that is text", `"leaving":true`, `"leaving":"yes"`),
	Entry("empty", listing, ``),
)

var _ = DescribeTable("a broken report is refused or not complete", func(from, to string) {
	read, err := ParseReport([]byte(strings.Replace(report, from, to, 1)), "s")
	Expect(err != nil || !read.Complete).To(BeTrue())
},
	Entry("running is missing", `"running":1,`, ``),
	Entry("waiting is text", `"waiting":2`, `"waiting":"2"`),
	Entry("negative", `"running":1`, `"running":-1`),
	Entry("another server's", `"server":"s"`, `"server":"t"`),
	Entry("no incarnation", `"incarnation":"1",`, ``),
	Entry("says it is partial", `"complete":true`, `"complete":false`),
	Entry("cut short", `"ageMs":5}`, ``),
)

var _ = It("reads a whole listing and a whole report", func() {
	listed, err := ParseListing([]byte(listing), "r")
	Expect(err).NotTo(HaveOccurred())
	Expect(listed.Servers[0].RemainingMs).To(Equal(int64(900)))
	read, err := ParseReport([]byte(report), "s")
	Expect(err).NotTo(HaveOccurred())
	Expect(read.Complete).To(BeTrue())
	Expect(read.Idle()).To(BeFalse())
})

func FuzzListing(f *testing.F) {
	f.Add([]byte(listing))
	f.Add([]byte(`{"region":"r","complete":true,"servers":[{}]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		read, err := ParseListing(content, "r")
		for _, server := range read.Servers {
			if err == nil && (server.Name == "" || server.Region != "r") {
				t.Fatal("a broken listing was accepted")
			}
		}
	})
}

func FuzzReport(f *testing.F) {
	f.Add([]byte(report))
	f.Add([]byte(`{"server":"s","incarnation":"1","complete":true}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		read, err := ParseReport(content, "s")
		if err == nil && (read.Running < 0 || read.Waiting < 0) {
			t.Fatal("a broken report was accepted")
		}
		if err == nil && read.Complete && !strings.Contains(string(content), "running") && !strings.Contains(string(content), `\u`) {
			t.Fatal("a partial report counts as complete")
		}
	})
}
