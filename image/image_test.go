package image

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"
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
	read, err := document.Parse([]byte(content))
	if err != nil {
		panic(err)
	}
	return contract.NewVersion(contract.Position{View: 1, Revision: revision}, "o/1", read)
}

// writes returns writes of full records.
func writes(versions ...contract.Version) []chain.Write {
	result := []chain.Write{}
	for _, version := range versions {
		result = append(result, chain.Write{Version: version})
	}
	return result
}

// encoded returns versions as JSON for comparison: equal contents need not share their parts in memory.
func encoded(versions []contract.Version) []string {
	result := []string{}
	for _, version := range versions {
		text, err := json.Marshal(version)
		if err != nil {
			panic(err)
		}
		result = append(result, string(text))
	}
	return result
}

var _ = Describe("a data folder", func() {
	var folder Folder

	BeforeEach(func() {
		opened, err := Open(filepath.Join(GinkgoT().TempDir(), "data"))
		Expect(err).NotTo(HaveOccurred())
		folder = opened
		view := contract.View{Number: 4, Chain: []string{"a#1"}}
		Expect(Save(folder, chain.Persist{Writes: writes(version(1, `{"a":1}`), version(2, `{"a":2}`)), Member: &chain.MemberRecord{ID: "d1", View: view}})).To(Succeed())
	})

	It("loads what was saved, one file per version", func() {
		recovered, err := Load(folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(encoded(recovered.Versions)).To(Equal(encoded([]contract.Version{version(1, `{"a":1}`), version(2, `{"a":2}`)})))
		Expect(recovered.Member.View.Number).To(Equal(int64(4)))
		names, _ := folder.List()
		Expect(names).To(HaveLen(3))
	})

	DescribeTable("sets a damaged file aside and uses nothing of it", func(damage func([]byte) []byte) {
		path := filepath.Join(folder.Path, versionFileName(contract.Position{View: 1, Revision: 2}))
		content, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(path, damage(content), 0o600)).To(Succeed())
		recovered, err := Load(folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(recovered.Versions).To(HaveLen(1))
		Expect(recovered.Damaged).To(HaveLen(1))
		Expect(path + damagedSuffix).To(BeAnExistingFile())
		again, _ := Load(folder)
		Expect(again.Damaged).To(BeEmpty())
	},
		Entry("torn", func(content []byte) []byte { return content[:len(content)/2] }),
		Entry("one byte changed", func(content []byte) []byte { return bytes.Replace(content, []byte(`"a":2`), []byte(`"a":3`), 1) }),
		Entry("emptied", func([]byte) []byte { return nil }),
	)

	It("saves a version that occurs twice in one update, as after a failed write", func() {
		view := contract.View{Number: 5, Chain: []string{"a#1"}}
		Expect(Save(folder, chain.Persist{Writes: writes(version(3, `{"a":3}`), version(3, `{"a":3}`)), Member: &chain.MemberRecord{ID: "d1", View: view}})).To(Succeed())
		recovered, _ := Load(folder)
		Expect(recovered.Versions).To(HaveLen(3))
		Expect(recovered.Member.View.Number).To(Equal(int64(5)))
	})

	It("loads past operations, and deltas together with their bases", func() {
		first := version(3, `{"a":{"b":{"c":1}}}`)
		change := document.Change{}
		change.SetPart("/a/b/c", "2")
		next := first.Next(contract.Position{View: 1, Revision: 4}, "o/4", change)
		past := []contract.PastOperation{{Position: contract.Position{View: 1, Revision: 1}, Operation: "o/1"}}
		Expect(Save(folder, chain.Persist{Writes: []chain.Write{{Version: first}, {Version: next, Base: first}}, PastOperations: &past})).To(Succeed())
		recovered, err := Load(folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(recovered.PastOperations).To(Equal(past))
		Expect(recovered.Versions[3].Digest).To(Equal(next.Digest))
		Expect(recovered.Stored[3].Base).To(Equal(first.Position))
		Expect(folder.Remove(versionFileName(first.Position))).To(Succeed())
		recovered, err = Load(folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(recovered.Versions).To(HaveLen(2), "a delta without its base is not used")
		Expect(recovered.Damaged).To(HaveLen(1))
	})

	It("loads full versions of earlier releases, whose digest is that of the JSON text", func() {
		text := `{"a":7}`
		outdated := contract.Record{Position: contract.Position{View: 1, Revision: 3}, Operation: "o/1", Digest: contract.Digest([]byte(text)), Manifest: json.RawMessage(text)}
		content, err := encodeEnvelope(outdated)
		Expect(err).NotTo(HaveOccurred())
		Expect(folder.WriteTemp(versionFileName(outdated.Position), content)).To(Succeed())
		recovered, err := Load(folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(encoded(recovered.Versions[2:])).To(Equal(encoded([]contract.Version{version(3, text)})))
	})

	It("removes old versions and temporary files that were never renamed", func() {
		Expect(folder.WriteTemp(versionFileName(contract.Position{View: 1, Revision: 3})+tempSuffix, []byte("half"))).To(Succeed())
		Expect(Save(folder, chain.Persist{Remove: []contract.Position{{View: 1, Revision: 1}, {View: 9, Revision: 9}}})).To(Succeed())
		recovered, _ := Load(folder)
		Expect(encoded(recovered.Versions)).To(Equal(encoded([]contract.Version{version(2, `{"a":2}`)})))
		names, _ := folder.List()
		Expect(names).To(HaveLen(2))
	})
})

// unreadable fails the reads of one file.
type unreadable struct {
	Folder
	name string
	err  error
}

func (files unreadable) Read(name string) ([]byte, error) {
	if name == files.name {
		return nil, &os.PathError{Op: "read", Path: name, Err: files.err}
	}
	return files.Folder.Read(name)
}

var _ = It("a file that can't be read for now is not taken for a damaged one, so that a member keeps its identity", func() {
	folder, err := Open(filepath.Join(GinkgoT().TempDir(), "data"))
	Expect(err).NotTo(HaveOccurred())
	Expect(Save(folder, chain.Persist{Member: &chain.MemberRecord{ID: "d1"}})).To(Succeed())
	_, err = Load(unreadable{folder, memberFileName, syscall.EMFILE})
	Expect(err).To(MatchError(syscall.EMFILE))
	recovered, err := Load(folder)
	Expect(err).NotTo(HaveOccurred())
	Expect(recovered.Member.ID).To(Equal("d1"))
})
