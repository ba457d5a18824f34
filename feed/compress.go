package feed

import (
	"bytes"
	"encoding/json"

	"github.com/cedarreel/cedarreel/compression"
	"github.com/cedarreel/cedarreel/contract"
)

const (
	// compressFrom is the size in bytes from which a version travels compressed.
	compressFrom = 4 << 10
	// mostUnfolded bounds in bytes what a compressed version may unfold to.
	mostUnfolded = 64 << 20
)

func compress(version contract.Version) []byte {
	content, failure := json.Marshal(version.WholeRecord())
	if failure != nil {
		panic(failure)
	}
	return compression.Compress(content)
}

func decompress(content []byte) (contract.Record, error) {
	record := contract.Record{}
	reader, failure := compression.Decompress(bytes.NewReader(content), mostUnfolded)
	if failure != nil {
		return record, failure
	}
	defer reader.Close()
	failure = json.NewDecoder(reader).Decode(&record)
	return record, failure
}
