package serve

import (
	"runtime"
	"testing"

	. "github.com/onsi/gomega"
)

func TestAProcessUsesNoMoreProcessorsThanItsSettingsGrant(t *testing.T) {
	t.Setenv("GOMAXPROCS", "")
	expect, before := NewWithT(t), runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(before)
	limitProcessors(0)
	expect.Expect(runtime.GOMAXPROCS(0)).To(Equal(before), "no limit in the settings")
	limitProcessors(1)
	expect.Expect(runtime.GOMAXPROCS(0)).To(Equal(1))
	limitProcessors(1 << 20)
	expect.Expect(runtime.GOMAXPROCS(0)).To(Equal(runtime.NumCPU()))
}
