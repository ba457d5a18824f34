package emulator

import (
	"runtime/debug"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const storyGarbage = 1000

func TestEmulator(t *testing.T) {
	debug.SetGCPercent(storyGarbage)
	RegisterFailHandler(Fail)
	RunSpecs(t, "emulator")
}
