package image

import (
	"fmt"
	"os"
	"slices"

	"github.com/cedarreel/cedarreel/index"
	"github.com/rotisserie/eris"
)

const (
	indexPrefix = "index-"
	// keptIndexSnapshots is the number of snapshots that are kept, so that there is another one if the newest is damaged.
	keptIndexSnapshots = 2
)

func indexFileName(number int64) string { return fmt.Sprintf("%s%016d.json", indexPrefix, number) }

// indexNumbers returns the numbers of the snapshots in a folder in ascending order.
func indexNumbers(files Files) ([]int64, error) {
	names, err := files.List()
	numbers := []int64{}
	for _, name := range names {
		number := int64(0)
		if _, err := fmt.Sscanf(name, indexPrefix+"%d.json", &number); err == nil && name == indexFileName(number) {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, eris.Wrap(err, "folder not read")
}

// SaveIndex writes a snapshot of the cache index under the next number and removes all but the newest ones.
func SaveIndex(files Files, snapshot index.Snapshot) error {
	numbers, err := indexNumbers(files)
	if err != nil {
		return err
	}
	next := int64(1)
	if len(numbers) > 0 {
		next = numbers[len(numbers)-1] + 1
	}
	name := indexFileName(next)
	if err := replaceFile(files, name, snapshot); err != nil {
		return eris.Wrap(err, "index not written")
	}
	numbers = append(numbers, next)
	for _, outdated := range numbers[:max(0, len(numbers)-keptIndexSnapshots)] {
		if err := files.Remove(indexFileName(outdated)); err != nil && !os.IsNotExist(err) {
			return eris.Wrap(err, "old index not removed")
		}
	}
	return eris.Wrap(files.SyncFolder(), "folder not synced")
}

// LoadIndex returns the newest intact snapshot, or an empty one, and the number of damaged snapshots that it skipped.
func LoadIndex(files Files) (index.Snapshot, int) {
	numbers, err := indexNumbers(files)
	if err != nil {
		return index.Snapshot{}, 1
	}
	damaged := 0
	for _, number := range slices.Backward(numbers) {
		snapshot := index.Snapshot{}
		content, err := files.Read(indexFileName(number))
		if err == nil {
			err = decodeEnvelope(content, &snapshot)
		}
		if err == nil {
			return snapshot, damaged
		}
		damaged++
	}
	return index.Snapshot{}, damaged
}
