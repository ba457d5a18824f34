package schema

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSchema(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "schema")
}

var _ = It("is what the client's code was made from", func() {
	generated, err := GenerateClient()
	Expect(err).NotTo(HaveOccurred())
	committed, err := os.ReadFile("../client/operations.go")
	Expect(err).NotTo(HaveOccurred())
	Expect(string(committed)).To(Equal(string(generated)), "go run ./schema/generate > client/operations.go")
})

var _ = It("has just the operations that the nodes serve", func() {
	operations, err := Load()
	Expect(err).NotTo(HaveOccurred())
	sources := ""
	for _, path := range []string{"../link/operators.go", "../serve/data.go", "../serve/serve.go"} {
		content, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		sources += string(content)
	}
	described := 0
	for _, operation := range operations {
		path := operation.Path
		for _, argument := range operation.Arguments {
			if argument.In == "path" && !strings.HasPrefix(path, "/v1/lookups/") && !strings.HasPrefix(path, "/v1/calls/") {
				path = strings.Replace(path, "{"+argument.Name+"}", "{subject}", 1)
			}
		}
		Expect(sources).To(ContainSubstring("\""+operation.Method+" "+path+"\""), operation.Name)
		described++
	}
	Expect(strings.Count(sources, "/v1/")).To(Equal(described-1), "every path is described; the one without a version is /metrics")
})
