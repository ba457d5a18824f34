package compression_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/cedarreel/cedarreel/compression"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCompression(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "compression")
}

var _ = Describe("compressed content", func() {
	configuration := []byte(strings.Repeat("configuration ", 4000))
	read := func(content []byte, limit int64) ([]byte, error) {
		reader, err := compression.Decompress(bytes.NewReader(content), limit)
		if err != nil {
			return nil, err
		}
		defer reader.Close()
		return io.ReadAll(reader)
	}

	It("given a configuration, when it is compressed and read several times, then it is unchanged", func() {
		for range 3 {
			content := compression.Compress(configuration)
			Expect(len(content) * 10).To(BeNumerically("<", len(configuration)))
			Expect(read(content, 1<<20)).To(Equal(configuration))
		}
	})

	It("given a small content that decompresses to a large one, when it is read, then it ends at the limit", func() {
		Expect(read(compression.Compress(configuration), 100)).To(Equal(configuration[:100]))
	})

	It("given content that is cut short or no gzip, when it is read, then it is refused, and the next one is read", func() {
		content := compression.Compress(configuration)
		for _, broken := range [][]byte{content[:len(content)/2], []byte("no gzip at all"), {}} {
			_, err := read(broken, 1<<20)
			Expect(err).To(HaveOccurred())
		}
		Expect(read(content, 1<<20)).To(Equal(configuration))
	})
})
