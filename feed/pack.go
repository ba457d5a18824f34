package feed

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cedarreel/cedarreel/contract"
)

const (
	// packFrom is the size in bytes from which a version travels packed.
	packFrom = 4 << 10
	// mostUnpacked bounds in bytes what a packed version may unfold to.
	mostUnpacked = 64 << 20
)

func pack(version contract.Version) []byte {
	content, failure := json.Marshal(version)
	if failure != nil {
		panic(failure)
	}
	buffer := bytes.NewBuffer(make([]byte, 0, len(content)/8))
	writer, failure := gzip.NewWriterLevel(buffer, gzip.BestSpeed)
	if failure != nil {
		panic(failure)
	}
	if _, failure = writer.Write(content); failure != nil {
		panic(failure)
	}
	if failure = writer.Close(); failure != nil {
		panic(failure)
	}
	return buffer.Bytes()
}

func unpack(content []byte) (contract.Version, error) {
	version := contract.Version{}
	reader, failure := gzip.NewReader(bytes.NewReader(content))
	if failure != nil {
		return version, failure
	}
	return version, json.NewDecoder(io.LimitReader(reader, mostUnpacked)).Decode(&version)
}
