package gateways

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestKnown(t *testing.T) {
	gomega.RegisterFailHandler(Fail)
	RunSpecs(t, "soaks of gateways that are known to be red")
}

var _ = Describe("the tests that CI passes over", func() {
	PIt("go test -count=1 -run TestStoppingGatewaysLoseNoRequest ./stories/gateways, seed 1, beside another whole CI run")
})
