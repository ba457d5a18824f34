package image

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestImage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "image")
}

func version(revision int64, content string) contract.Version {
	read, failure := document.Parse([]byte(content))
	if failure != nil {
		panic(failure)
	}
	return contract.NewVersion(contract.Position{View: 1, Revision: revision}, "o/1", read)
}

// writes has versions written whole.
func writes(versions ...contract.Version) []chain.Write {
	made := []chain.Write{}
	for _, version := range versions {
		made = append(made, chain.Write{Version: version})
	}
	return made
}

// texts gives what can be compared of versions: equal contents need not share their parts.
func texts(versions []contract.Version) []string {
	made := []string{}
	for _, version := range versions {
		text, failure := json.Marshal(version)
		if failure != nil {
			panic(failure)
		}
		made = append(made, string(text))
	}
	return made
}

var _ = Describe("a data folder", func() {
	var folder Folder

	BeforeEach(func() {
		opened, failure := Open(filepath.Join(GinkgoT().TempDir(), "data"))
		Expect(failure).NotTo(HaveOccurred())
		folder = opened
		view := contract.View{Number: 4, Chain: []string{"a#1"}}
		Expect(Save(folder, chain.Persist{Writes: writes(version(1, `{"a":1}`), version(2, `{"a":2}`)), Member: &chain.MemberRecord{ID: "d1", View: view}})).To(Succeed())
	})

	It("gives back what was saved, one file a version", func() {
		recovered, failure := Load(folder)
		Expect(failure).NotTo(HaveOccurred())
		Expect(texts(recovered.Versions)).To(Equal(texts([]contract.Version{version(1, `{"a":1}`), version(2, `{"a":2}`)})))
		Expect(recovered.Member.View.Number).To(Equal(int64(4)))
		names, _ := folder.List()
		Expect(names).To(HaveLen(3))
	})

	DescribeTable("puts a damaged file aside and never uses half of it", func(damage func([]byte) []byte) {
		path := filepath.Join(folder.Path, nameOf(contract.Position{View: 1, Revision: 2}))
		content, failure := os.ReadFile(path)
		Expect(failure).NotTo(HaveOccurred())
		Expect(os.WriteFile(path, damage(content), 0o600)).To(Succeed())
		recovered, failure := Load(folder)
		Expect(failure).NotTo(HaveOccurred())
		Expect(recovered.Versions).To(HaveLen(1))
		Expect(recovered.Damaged).To(HaveLen(1))
		Expect(path + damaged).To(BeAnExistingFile())
		again, _ := Load(folder)
		Expect(again.Damaged).To(BeEmpty())
	},
		Entry("torn", func(content []byte) []byte { return content[:len(content)/2] }),
		Entry("one byte changed", func(content []byte) []byte { return bytes.Replace(content, []byte(`"a":2`), []byte(`"a":3`), 1) }),
		Entry("emptied", func([]byte) []byte { return nil }),
	)

	It("saves what stands twice in one batch, as after a write that the disk refused", func() {
		view := contract.View{Number: 5, Chain: []string{"a#1"}}
		Expect(Save(folder, chain.Persist{Writes: writes(version(3, `{"a":3}`), version(3, `{"a":3}`)), Member: &chain.MemberRecord{ID: "d1", View: view}})).To(Succeed())
		recovered, _ := Load(folder)
		Expect(recovered.Versions).To(HaveLen(3))
		Expect(recovered.Member.View.Number).To(Equal(int64(5)))
	})

	It("gives back the operations of versions that are gone, and changes of versions with what they are changes of", func() {
		first := version(3, `{"a":{"b":{"c":1}}}`)
		change := document.Change{}
		change.SetPart("/a/b/c", "2")
		next := first.Next(contract.Position{View: 1, Revision: 4}, "o/4", change)
		past := []contract.PastOperation{{Position: contract.Position{View: 1, Revision: 1}, Operation: "o/1"}}
		Expect(Save(folder, chain.Persist{Writes: []chain.Write{{Version: first}, {Version: next, Base: first}}, PastOperations: &past})).To(Succeed())
		recovered, failure := Load(folder)
		Expect(failure).NotTo(HaveOccurred())
		Expect(recovered.PastOperations).To(Equal(past))
		Expect(recovered.Versions[3].Digest).To(Equal(next.Digest))
		Expect(recovered.Stored[3].Base).To(Equal(first.Position))
		Expect(folder.Remove(nameOf(first.Position))).To(Succeed())
		recovered, failure = Load(folder)
		Expect(failure).NotTo(HaveOccurred())
		Expect(recovered.Versions).To(HaveLen(2), "a change without its base is not used")
		Expect(recovered.Damaged).To(HaveLen(1))
	})

	It("reads the whole versions of former releases, whose digest is that of the text", func() {
		text := `{"a":7}`
		former := contract.Record{Position: contract.Position{View: 1, Revision: 3}, Operation: "o/1", Digest: contract.Digest([]byte(text)), Manifest: json.RawMessage(text)}
		content, failure := wrap(former)
		Expect(failure).NotTo(HaveOccurred())
		Expect(folder.WriteAside(nameOf(former.Position), content)).To(Succeed())
		recovered, failure := Load(folder)
		Expect(failure).NotTo(HaveOccurred())
		Expect(texts(recovered.Versions[2:])).To(Equal(texts([]contract.Version{version(3, text)})))
	})

	It("drops old versions and what was written aside but never renamed", func() {
		Expect(folder.WriteAside(nameOf(contract.Position{View: 1, Revision: 3})+aside, []byte("half"))).To(Succeed())
		Expect(Save(folder, chain.Persist{Remove: []contract.Position{{View: 1, Revision: 1}, {View: 9, Revision: 9}}})).To(Succeed())
		recovered, _ := Load(folder)
		Expect(texts(recovered.Versions)).To(Equal(texts([]contract.Version{version(2, `{"a":2}`)})))
		names, _ := folder.List()
		Expect(names).To(HaveLen(2))
	})
})
