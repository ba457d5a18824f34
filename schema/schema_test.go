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
	made, err := Client()
	Expect(err).NotTo(HaveOccurred())
	kept, err := os.ReadFile("../client/operations.go")
	Expect(err).NotTo(HaveOccurred())
	Expect(string(kept)).To(Equal(string(made)), "go run ./schema/generate > client/operations.go")
})

var _ = It("has just the questions that the nodes answer", func() {
	operations, err := Read()
	Expect(err).NotTo(HaveOccurred())
	faces := ""
	for _, path := range []string{"../link/operators.go", "../serve/data.go", "../serve/serve.go"} {
		content, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		faces += string(content)
	}
	described := 0
	for _, operation := range operations {
		path := operation.Path
		for _, word := range operation.Words {
			if word.In == "path" && !strings.HasPrefix(path, "/v1/lookups/") && !strings.HasPrefix(path, "/v1/calls/") {
				path = strings.Replace(path, "{"+word.Name+"}", "{subject}", 1)
			}
		}
		Expect(faces).To(ContainSubstring("\""+operation.Method+" "+path+"\""), operation.Name)
		described++
	}
	Expect(strings.Count(faces, "/v1/")).To(Equal(described-1), "every face is described; one is /metrics")
})
