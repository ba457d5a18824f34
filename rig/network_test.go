package rig

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = It("two fleets never share a network of loopback addresses", func() {
	first, err := claimNetwork(7)
	Expect(err).NotTo(HaveOccurred())
	second, err := claimNetwork(7)
	Expect(err).NotTo(HaveOccurred())
	Expect(second.number).NotTo(Equal(first.number))
	taken := first.number
	first.release()
	third, err := claimNetwork(taken - firstNetwork)
	Expect(err).NotTo(HaveOccurred())
	Expect(third.number).To(Equal(taken))
	second.release()
	third.release()
})
