package image

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/index"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// failingDisk fails at one step of a save.
type failingDisk struct {
	Files
	step string
}

func (disk failingDisk) WriteTemp(name string, content []byte) error {
	if disk.step == "write" {
		_ = disk.Files.WriteTemp(name, content[:len(content)/2])
		return os.ErrInvalid
	}
	return disk.Files.WriteTemp(name, content)
}

func (disk failingDisk) Rename(from, name string) error {
	if disk.step == "rename" {
		return os.ErrInvalid
	}
	return disk.Files.Rename(from, name)
}

func (disk failingDisk) SyncFolder() error {
	if disk.step == "sync" {
		return os.ErrInvalid
	}
	return disk.Files.SyncFolder()
}

func (disk failingDisk) List() ([]string, error) {
	if disk.step == "list" {
		return nil, os.ErrInvalid
	}
	return disk.Files.List()
}

var _ = Describe("a saved cache index", func() {
	var folder Folder
	snapshot := func(server string) index.Snapshot {
		return index.Snapshot{Places: []index.Placement{{Key: index.Key{Scope: "s\x00east", Anchor: 1<<64 - 1}, Server: server}}}
	}
	names := func() []string {
		names, err := folder.List()
		Expect(err).NotTo(HaveOccurred())
		return names
	}
	load := func() (index.Snapshot, int) { return LoadIndex(folder) }

	BeforeEach(func() {
		opened, err := Open(filepath.Join(GinkgoT().TempDir(), "data"))
		Expect(err).NotTo(HaveOccurred())
		folder = opened
	})

	It("given nothing saved, when it is loaded, then it is empty and nothing is damaged", func() {
		loaded, damaged := load()
		Expect(loaded.Places).To(BeEmpty())
		Expect(damaged).To(BeZero())
	})

	It("given many saves, when it is loaded, then it is the newest one, and two files are kept", func() {
		for _, server := range strings.Split("a b c d e f g h i j k l", " ") {
			Expect(SaveIndex(folder, snapshot(server))).To(Succeed())
		}
		loaded, damaged := load()
		Expect(loaded).To(Equal(snapshot("l")))
		Expect(damaged).To(BeZero())
		Expect(names()).To(Equal([]string{"index-0000000000000011.json", "index-0000000000000012.json"}))
	})

	DescribeTable("given a damaged newest file, when it is loaded, then the previous one is used and the damage is counted", func(damage func([]byte) []byte) {
		Expect(SaveIndex(folder, snapshot("a"))).To(Succeed())
		Expect(SaveIndex(folder, snapshot("b"))).To(Succeed())
		path := filepath.Join(folder.Path, names()[1])
		content, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(path, damage(content), 0o600)).To(Succeed())
		loaded, damaged := load()
		Expect(loaded).To(Equal(snapshot("a")))
		Expect(damaged).To(Equal(1))
		Expect(SaveIndex(folder, snapshot("c"))).To(Succeed())
		loaded, _ = load()
		Expect(loaded).To(Equal(snapshot("c")))
	},
		Entry("torn", func(content []byte) []byte { return content[:len(content)/2] }),
		Entry("one byte changed", func(content []byte) []byte { return []byte(strings.Replace(string(content), `"b"`, `"z"`, 1)) }),
		Entry("emptied", func([]byte) []byte { return nil }),
	)

	It("given files with other names, when the next snapshot is saved, then they are ignored", func() {
		for _, name := range []string{"index-odd.json", "index-77.json", "index-0000000000000009.json.aside"} {
			Expect(os.WriteFile(filepath.Join(folder.Path, name), []byte("{}"), 0o600)).To(Succeed())
		}
		_, damaged := load()
		Expect(damaged).To(BeZero())
		Expect(SaveIndex(folder, snapshot("a"))).To(Succeed())
		Expect(SaveIndex(folder, snapshot("b"))).To(Succeed())
		loaded, _ := load()
		Expect(loaded).To(Equal(snapshot("b")))
	})

	for _, step := range []string{"write", "rename", "sync", "list"} {
		It("given a disk that fails to "+step+", when it is saved, then an error is returned, the previous one is kept and no partial file remains", func() {
			Expect(SaveIndex(folder, snapshot("a"))).To(Succeed())
			Expect(SaveIndex(failingDisk{folder, step}, snapshot("b"))).NotTo(Succeed())
			all, _ := folder.List()
			for _, name := range all {
				Expect(name).NotTo(HaveSuffix(tempSuffix))
			}
			Expect(all).To(ContainElement("index-0000000000000001.json"))
			Expect(SaveIndex(folder, snapshot("c"))).To(Succeed())
			loaded, _ := load()
			Expect(loaded).To(Equal(snapshot("c")))
		})
	}

	It("given versions of the manifest in the same folder, when either is saved or loaded, then the other is untouched", func() {
		Expect(Save(folder, chain.Persist{Member: &chain.MemberRecord{View: contract.View{Number: 3}}})).To(Succeed())
		Expect(SaveIndex(folder, snapshot("a"))).To(Succeed())
		Expect(Save(folder, chain.Persist{})).To(Succeed())
		recovered, err := Load(folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(recovered.Damaged).To(BeEmpty())
		Expect(recovered.Member.View.Number).To(Equal(int64(3)))
		loaded, damaged := load()
		Expect(loaded).To(Equal(snapshot("a")))
		Expect(damaged).To(BeZero())
	})
})
