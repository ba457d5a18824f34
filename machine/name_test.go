package machine

import (
	"testing"

	"github.com/cedarreel/cedarreel/contract"
	. "github.com/onsi/gomega"
)

func TestANameWithoutItsKindEndsNoProcess(t *testing.T) {
	for name, want := range map[string]string{"m1-control": "m1", "x": "x", "": "", "control": "control"} {
		NewWithT(t).Expect(Name(contract.Member{Name: name, Kind: contract.KindControl})).To(Equal(want))
	}
}
