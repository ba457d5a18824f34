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

// foldersTried is how many series of writes are played, each of foldersSteps.
const (
	foldersTried = 25
	foldersSteps = 80
)

// files are what a data folder holds as records, by place.
type files map[contract.Position][]byte

func (held files) save(writes []Write, removed []contract.Position) {
	for _, place := range removed {
		delete(held, place)
	}
	for _, write := range writes {
		content, failure := json.Marshal(write.Record())
		Expect(failure).NotTo(HaveOccurred())
		held[write.Version.Position] = content
	}
}

// open reads all files as a start does, and gives them as they lie there.
func (held files) open() ([]contract.Version, []StoredVersion) {
	places := []contract.Position{}
	for place := range held {
		places = append(places, place)
	}
	slices.SortFunc(places, contract.Position.Compare)
	versions, stored := []contract.Version{}, []StoredVersion{}
	for _, place := range places {
		record := contract.Record{}
		Expect(json.Unmarshal(held[place], &record)).To(Succeed())
		version, failure := record.Decode(versions)
		Expect(failure).NotTo(HaveOccurred())
		one := StoredVersion{Position: place, Size: record.Size()}
		if record.Base != nil {
			one.Base = *record.Base
		}
		versions, stored = append(versions, version), append(stored, one)
	}
	return versions, stored
}

var _ = Describe("a data folder whose versions are changes of each other", func() {
	It("given writes, views that leave versions behind, trims, failed writes and restarts, then all that is wanted can always be put together", func() {
		for seed := range uint64(foldersTried) {
			random := rand.New(rand.NewPCG(seed, 6))
			known, held, log := newStoredVersions(nil), files{}, []contract.Version{contract.NewVersion(contract.Position{View: 1, Revision: 1}, "", document.Empty().Apply(many(40)))}
			writes, removed := known.plan(log, nil)
			held.save(writes, removed)
			known.apply(writes, nil, removed)
			view := int64(1)
			for step := range foldersSteps {
				fresh, drop := []contract.Version{}, []contract.Position{}
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
						next := last.Next(contract.Position{View: view, Revision: last.Position.Revision + 1}, fmt.Sprint(step), item(fmt.Sprint(random.IntN(1000))))
						log, fresh = append(log, next), append(fresh, next)
					}
				}
				writes, removed := known.plan(fresh, drop)
				if random.IntN(10) == 0 {
					held.save(writes[:len(writes)/2], removed)
					writes, removed = known.plan(fresh, drop)
				}
				held.save(writes, removed)
				known.apply(writes, drop, removed)
				versions, stored := held.open()
				for _, version := range log {
					place := slices.IndexFunc(versions, func(other contract.Version) bool { return other.Position == version.Position })
					Expect(place).To(BeNumerically(">=", 0), "seed %d, step %d: %v is lost", seed, step, version.Position)
					Expect(versions[place].Digest).To(Equal(version.Digest))
				}
				if random.IntN(20) == 0 {
					known = newStoredVersions(stored)
					for _, version := range versions {
						if !slices.ContainsFunc(log, func(other contract.Version) bool { return other.Position == version.Position }) {
							known.released[version.Position] = true
						}
					}
				}
			}
		}
	})

	It("writes a version whole when the changes in a row are many or as large as the version", func() {
		known, last := newStoredVersions(nil), contract.NewVersion(contract.Position{View: 1, Revision: 1}, "", document.Empty().Apply(many(400)))
		whole := 0
		for revision := int64(1); revision <= 4*maxDeltaChain; revision++ {
			writes, removed := known.plan([]contract.Version{last}, nil)
			known.apply(writes, nil, removed)
			if writes[0].Base.Position.Revision == 0 {
				whole++
			}
			last = last.Next(contract.Position{View: 1, Revision: revision + 1}, "", item(fmt.Sprint(revision)))
		}
		Expect(whole).To(Equal(4))
	})
})
