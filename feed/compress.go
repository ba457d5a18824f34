package feed

import (
	"bytes"

	"github.com/cedarreel/cedarreel/compression"
	"github.com/cedarreel/cedarreel/contract"
)

const (
	// minCompressSize is the size in bytes from which records are compressed.
	minCompressSize = 4 << 10
	// maxDecompressedSize bounds in bytes the records that a compressed delivery expands to.
	maxDecompressedSize = 64 << 20
)

func compress(records []contract.Record) []byte {
	content := bytes.Buffer{}
	if err := contract.WriteRecords(&content, records); err != nil {
		panic(err)
	}
	return compression.Compress(content.Bytes())
}

func decompress(content []byte) ([]contract.Record, error) {
	reader, err := compression.Decompress(bytes.NewReader(content), maxDecompressedSize)
	if err != nil {
		return nil, err
	}
	defer reader.Close()
	return contract.ReadRecords(reader)
}
