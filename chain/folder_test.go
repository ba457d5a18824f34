package chain

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	. "github.com/onsi/gomega"
)

// seriesCount is the number of random series of updates, each of seriesLength steps.
const (
	seriesCount  = 25
	seriesLength = 80
)

// diskFiles are the encoded records in a data folder, by position.
type diskFiles map[contract.Position][]byte

func (disk diskFiles) save(writes []Write, removed []contract.Position) {
	for _, position := range removed {
		delete(disk, position)
	}
	for _, write := range writes {
		content, err := json.Marshal(write.Record())
		Expect(err).NotTo(HaveOccurred())
		disk[write.Version.Position] = content
	}
}

// readAll decodes all files as a start of the process does, and describes how they are stored.
func (disk diskFiles) readAll() ([]contract.Version, []StoredVersion) {
	places := []contract.Position{}
	for position := range disk {
		places = append(places, position)
	}
	slices.SortFunc(places, contract.Position.Compare)
	versions, stored := []contract.Version{}, []StoredVersion{}
	for _, position := range places {
		record := contract.Record{}
		Expect(json.Unmarshal(disk[position], &record)).To(Succeed())
		version, err := record.Decode(versions)
		Expect(err).NotTo(HaveOccurred())
		entry := StoredVersion{Position: position, Size: record.Size()}
		if record.Base != nil {
			entry.Base = *record.Base
		}
		versions, stored = append(versions, version), append(stored, entry)
	}
	return versions, stored
}

var _ = Describe("a data folder with deltas", func() {
	It("given writes, abandoned versions, trims, failed writes and restarts, then all wanted versions can always be decoded", func() {
		for seed := range uint64(seriesCount) {
			random := rand.New(rand.NewPCG(seed, 6))
			tracked, disk, log := newStoredVersions(nil), diskFiles{}, []contract.Version{contract.NewVersion(contract.Position{View: 1, Revision: 1}, "", document.Empty().Apply(largeChange(40)))}
			writes, removed := tracked.plan(log, nil)
			disk.save(writes, removed)
			tracked.apply(writes, nil, removed)
			view := int64(1)
			for step := range seriesLength {
				added, drop := []contract.Version{}, []contract.Position{}
				switch random.IntN(8) {
				case 0:
					view++
					for count := random.IntN(3); count > 0 && len(log) > 1; count-- {
						drop = append(drop, log[len(log)-1].Position)
						log = log[:len(log)-1]
					}
				case 1:
					for count := random.IntN(6); count > 0 && len(log) > 1; count-- {
						drop = append(drop, log[0].Position)
						log = log[1:]
					}
				default:
					for range 1 + random.IntN(3) {
						last := log[len(log)-1]
						next := last.Next(contract.Position{View: view, Revision: last.Position.Revision + 1}, fmt.Sprint(step), itemChange(fmt.Sprint(random.IntN(1000))))
						log, added = append(log, next), append(added, next)
					}
				}
				writes, removed := tracked.plan(added, drop)
				if random.IntN(10) == 0 {
					disk.save(writes[:len(writes)/2], removed)
					writes, removed = tracked.plan(added, drop)
				}
				disk.save(writes, removed)
				tracked.apply(writes, drop, removed)
				versions, stored := disk.readAll()
				for _, version := range log {
					index := slices.IndexFunc(versions, func(other contract.Version) bool { return other.Position == version.Position })
					Expect(index).To(BeNumerically(">=", 0), "seed %d, step %d: %v cannot be decoded", seed, step, version.Position)
					Expect(versions[index].Digest).To(Equal(version.Digest))
				}
				if random.IntN(20) == 0 {
					tracked = newStoredVersions(stored)
					for _, version := range versions {
						if !slices.ContainsFunc(log, func(other contract.Version) bool { return other.Position == version.Position }) {
							tracked.released[version.Position] = true
						}
					}
				}
			}
		}
	})

	It("writes a full record when the successive deltas are many or as large as the version", func() {
		tracked, last := newStoredVersions(nil), contract.NewVersion(contract.Position{View: 1, Revision: 1}, "", document.Empty().Apply(largeChange(400)))
		fullRecords := 0
		for revision := int64(1); revision <= 4*maxDeltaChain; revision++ {
			writes, removed := tracked.plan([]contract.Version{last}, nil)
			tracked.apply(writes, nil, removed)
			if writes[0].Base.Position.Revision == 0 {
				fullRecords++
			}
			last = last.Next(contract.Position{View: 1, Revision: revision + 1}, "", itemChange(fmt.Sprint(revision)))
		}
		Expect(fullRecords).To(Equal(4))
	})
})
