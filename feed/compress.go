package feed

import (
	"bytes"

	"github.com/cedarreel/cedarreel/compression"
	"github.com/cedarreel/cedarreel/contract"
)

const (
	// compressFrom is the size in bytes from which records travel compressed.
	compressFrom = 4 << 10
	// mostUnfolded bounds in bytes what compressed records may unfold to.
	mostUnfolded = 64 << 20
)

func compress(records []contract.Record) []byte {
	content := bytes.Buffer{}
	if failure := contract.WriteRecords(&content, records); failure != nil {
		panic(failure)
	}
	return compression.Compress(content.Bytes())
}

func decompress(content []byte) ([]contract.Record, error) {
	reader, failure := compression.Decompress(bytes.NewReader(content), mostUnfolded)
	if failure != nil {
		return nil, failure
	}
	defer reader.Close()
	return contract.ReadRecords(reader)
}
