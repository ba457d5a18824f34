package virtual

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a process", func() {
	var process *Process
	var seen []string
	note := func(name string) func() { return func() { seen = append(seen, name) } }

	BeforeEach(func() { process, seen = &Process{Up: true}, nil })

	It("performs an action at once while it is running", func() {
		process.Run(note("a"))
		Expect(seen).To(Equal([]string{"a"}))
	})

	It("performs actions that came during a freeze in order, when it thaws, once", func() {
		process.Frozen = true
		process.Run(note("a"))
		process.Run(note("b"))
		Expect(seen).To(BeEmpty())
		process.Thaw()
		Expect(process.Frozen).To(BeFalse())
		process.Thaw()
		process.Run(note("c"))
		Expect(seen).To(Equal([]string{"a", "b", "c"}))
	})

	It("loses pending and new actions once it is killed", func() {
		process.Frozen = true
		process.Run(note("a"))
		process.Kill()
		Expect(process.Up).To(BeFalse())
		process.Thaw()
		process.Run(note("b"))
		Expect(seen).To(BeEmpty())
	})

	It("drops the remaining actions when one kills it, and keeps them when one freezes it", func() {
		process.Frozen = true
		process.Run(note("a"))
		process.Run(func() { process.Frozen = true })
		process.Run(note("b"))
		process.Thaw()
		Expect(seen).To(Equal([]string{"a"}))
		process.Run(process.Kill)
		process.Run(note("c"))
		process.Thaw()
		Expect(seen).To(Equal([]string{"a", "b"}))
	})
})
