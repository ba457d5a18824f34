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
	// indexKept is how many snapshots stay, so that a damaged one has another behind it.
	indexKept = 2
)

func indexName(number int64) string { return fmt.Sprintf("%s%016d.json", indexPrefix, number) }

// indexNumbers gives the numbers of the snapshots in a folder, the last one at the end.
func indexNumbers(files Files) ([]int64, error) {
	names, failure := files.List()
	numbers := []int64{}
	for _, name := range names {
		number := int64(0)
		if _, odd := fmt.Sscanf(name, indexPrefix+"%d.json", &number); odd == nil && name == indexName(number) {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, eris.Wrap(failure, "folder not read")
}

// SaveIndex writes a snapshot as the next file and removes all but the last few.
func SaveIndex(files Files, snapshot index.Snapshot) error {
	numbers, failure := indexNumbers(files)
	if failure != nil {
		return failure
	}
	next := int64(1)
	if len(numbers) > 0 {
		next = numbers[len(numbers)-1] + 1
	}
	name := indexName(next)
	content, failure := wrap(snapshot)
	if failure == nil {
		failure = files.WriteAside(name+aside, content)
	}
	if failure == nil {
		failure = files.Settle(name+aside, name)
	}
	if failure != nil {
		_ = files.Remove(name + aside)
		return eris.Wrap(failure, "index not written")
	}
	numbers = append(numbers, next)
	for _, former := range numbers[:max(0, len(numbers)-indexKept)] {
		if failure := files.Remove(indexName(former)); failure != nil && !os.IsNotExist(failure) {
			return eris.Wrap(failure, "old index not removed")
		}
	}
	return eris.Wrap(files.SyncFolder(), "folder not synced")
}

// LoadIndex gives the last snapshot that is whole, and how many were not.
func LoadIndex(files Files) (index.Snapshot, int) {
	numbers, failure := indexNumbers(files)
	if failure != nil {
		return index.Snapshot{}, 1
	}
	damaged := 0
	for _, number := range slices.Backward(numbers) {
		snapshot := index.Snapshot{}
		content, failure := files.Read(indexName(number))
		if failure == nil {
			failure = unwrap(content, &snapshot)
		}
		if failure == nil {
			return snapshot, damaged
		}
		damaged++
	}
	return index.Snapshot{}, damaged
}
