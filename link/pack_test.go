package link

import (
	"bytes"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

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
		reader, failure := unpack(request)
		if failure != nil {
			return "", failure
		}
		defer reader.Close()
		text, failure := io.ReadAll(reader)
		return string(text), failure
	}

	ginkgo.It("given a small body, when it is packed, then it travels as it is", func() {
		body, encoding := pack([]byte("beat"))
		gomega.Expect(encoding).To(gomega.BeEmpty())
		gomega.Expect(read(body, encoding)).To(gomega.Equal("beat"))
	})

	ginkgo.It("given a configuration, when it is packed, then it comes out unchanged and travels as less than a fifth", func() {
		whole := strings.Repeat(`{"host":"a.example","prefix":"/one/","timeoutMs":8000},`, 4000)
		body, encoding := pack([]byte(whole))
		gomega.Expect(len(body) * 5).To(gomega.BeNumerically("<", len(whole)))
		gomega.Expect(read(body, encoding)).To(gomega.Equal(whole))
	})

	ginkgo.It("given the beats of a large fleet, when they are packed, then they come out unchanged and travel as less than half, one after the other", func() {
		for round := range 3 {
			beats := ""
			for member := range 48 {
				beats += fmt.Sprintf("machine-of-zone-%d-%d-data %d %d;", member%3, member*7%93, 1+member%2, 1000+member*37+round)
			}
			body, encoding := pack([]byte(beats))
			gomega.Expect(len(body) * 2).To(gomega.BeNumerically("<", len(beats)))
			gomega.Expect(read(body, encoding)).To(gomega.Equal(beats))
		}
	})

	ginkgo.It("given a packed body that is cut short or broken, when it is read, then it is refused", func() {
		body, encoding := pack([]byte(strings.Repeat("configuration ", 4000)))
		_, failure := read(body[:len(body)/2], encoding)
		gomega.Expect(failure).To(gomega.HaveOccurred())
		_, failure = read([]byte("not packed at all"), encoding)
		gomega.Expect(failure).To(gomega.HaveOccurred())
	})
})
