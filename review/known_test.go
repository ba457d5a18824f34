// Package review has the cases of a review. They are scripts and no part of the tests: each is a pending spec here, under its command in KNOWN-RED.txt.
package review

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReview(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "review")
}

var _ = Describe("the cases of the review", func() {
	PIt("review/build.sh, then review/1/run.sh (no seed)")
	PIt("review/build.sh, then review/2/run.sh (no seed)")
})
