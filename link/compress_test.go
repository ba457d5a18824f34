package link

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cedarreel/cedarreel/compression"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestLink(test *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(test, "link")
}

var _ = ginkgo.Describe("bodies between processes", func() {
	read := func(content []byte, encoding string) (string, error) {
		request := httptest.NewRequest("POST", Path, bytes.NewReader(content))
		request.Header.Set("Content-Encoding", encoding)
		reader, err := decompress(request)
		if err != nil {
			return "", err
		}
		defer reader.Close()
		text, err := io.ReadAll(reader)
		return string(text), err
	}

	ginkgo.It("given a small body, when it is compressed, then it is sent as it is", func() {
		body, encoding := compress([]byte("beat"))
		gomega.Expect(encoding).To(gomega.BeEmpty())
		gomega.Expect(read(body, encoding)).To(gomega.Equal("beat"))
	})

	ginkgo.It("given a lease request, when it is compressed, then it expands to the same and takes less than four fifths, including the header", func() {
		question := `{"messages":[{"kind":"lease-request","from":"machine-of-zone-1-17-data","boot":"5f0c83d1a4","body":{"node":"machine-of-zone-1-17-data",` +
			`"address":"10.1.2.3:7500","region":"east","asked":25200000000000,"highest":{"number":4,"node":"machine-of-zone-1-02-control","life":"9b1e7c20dd"},` +
			`"number":17,"shards":1,"brief":true}}]}`
		body, encoding := compress([]byte(question))
		gomega.Expect((len(body) + len("Content-Encoding: gzip\r\n")) * 5).To(gomega.BeNumerically("<", len(question)*4))
		gomega.Expect(read(body, encoding)).To(gomega.Equal(question))
	})

	ginkgo.It("given a body that compressing makes no smaller, when it is compressed, then it is sent as it is", func() {
		random, noise := rand.New(rand.NewPCG(1, 2)), make([]byte, 4*minCompressSize)
		for place := range noise {
			noise[place] = byte(random.Uint32())
		}
		body, encoding := compress(noise)
		gomega.Expect(encoding).To(gomega.BeEmpty())
		gomega.Expect(body).To(gomega.Equal(noise))
	})

	ginkgo.It("given a configuration, when it is compressed, then it expands to the same and takes less than a fifth", func() {
		whole := strings.Repeat(`{"host":"a.example","prefix":"/one/","timeoutMs":8000},`, 4000)
		body, encoding := compress([]byte(whole))
		gomega.Expect(len(body) * 5).To(gomega.BeNumerically("<", len(whole)))
		gomega.Expect(read(body, encoding)).To(gomega.Equal(whole))
	})

	ginkgo.It("given an already compressed version, when its delivery is compressed again, then it expands to the same and takes less than four fifths", func() {
		random, routes := rand.New(rand.NewPCG(1, 2)), ""
		for route := range 400 {
			routes += fmt.Sprintf(`{"host":"%x.example","prefix":"/%d/","timeoutMs":%d},`, random.Uint32(), route, 1000+random.IntN(9000))
		}
		change, err := json.Marshal(map[string][]byte{"packed": compression.Compress([]byte(routes))})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		body, encoding := compress(change)
		gomega.Expect(len(body) * 5).To(gomega.BeNumerically("<", len(change)*4))
		gomega.Expect(read(body, encoding)).To(gomega.Equal(string(change)))
	})

	ginkgo.It("given the heartbeats of a large fleet, when they are compressed, then they expand to the same and each takes less than half", func() {
		for round := range 3 {
			heartbeats := ""
			for member := range 48 {
				heartbeats += fmt.Sprintf("machine-of-zone-%d-%d-data %d %d;", member%3, member*7%93, 1+member%2, 1000+member*37+round)
			}
			body, encoding := compress([]byte(heartbeats))
			gomega.Expect(len(body) * 2).To(gomega.BeNumerically("<", len(heartbeats)))
			gomega.Expect(read(body, encoding)).To(gomega.Equal(heartbeats))
		}
	})

	ginkgo.It("given a compressed body that is cut short or broken, when it is read, then it is refused", func() {
		body, encoding := compress([]byte(strings.Repeat("configuration ", 4000)))
		_, err := read(body[:len(body)/2], encoding)
		gomega.Expect(err).To(gomega.HaveOccurred())
		_, err = read([]byte("not compressed at all"), encoding)
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})
