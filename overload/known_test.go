package overload

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestKnown(t *testing.T) {
	gomega.RegisterFailHandler(Fail)
	RunSpecs(t, "tests of crowds that are known to be red")
}

var _ = Describe("the tests that CI passes over", func() {
	PIt("go test -count=1 -run TestAnswersThatAreNotRead/peers ./overload, beside another whole CI run")
})
