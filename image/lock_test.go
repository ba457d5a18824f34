package image

import (
	"github.com/cedarreel/cedarreel/oserr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = It("a data folder has one holder at a time, and the next one waits", func() {
	folder, err := Open(GinkgoT().TempDir())
	Expect(err).NotTo(HaveOccurred())
	former, err := folder.TryLock()
	Expect(err).NotTo(HaveOccurred())
	_, err = folder.TryLock()
	Expect(oserr.IsPassing(err)).To(BeTrue(), "%v", err)
	former.Release()
	next, err := folder.TryLock()
	Expect(err).NotTo(HaveOccurred())
	next.Release()
})
