package docs

import . "github.com/onsi/ginkgo/v2"

// CI passes over these Go tests by their names in KNOWN-RED.txt.
var _ = Describe("the Go tests that are known to be red", func() {
	PIt("go test -count=1 -run TestAnswersThatAreNotRead/peers ./overload, beside another whole CI run")
})
