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

	It("does at once what comes while it runs", func() {
		process.Do(note("a"))
		Expect(seen).To(Equal([]string{"a"}))
	})

	It("does in order what came while it was frozen, when it thaws and once", func() {
		process.Frozen = true
		process.Do(note("a"))
		process.Do(note("b"))
		Expect(seen).To(BeEmpty())
		process.Thaw()
		Expect(process.Frozen).To(BeFalse())
		process.Thaw()
		process.Do(note("c"))
		Expect(seen).To(Equal([]string{"a", "b", "c"}))
	})

	It("loses what waited and what comes once it is dead", func() {
		process.Frozen = true
		process.Do(note("a"))
		process.Kill()
		Expect(process.Up).To(BeFalse())
		process.Thaw()
		process.Do(note("b"))
		Expect(seen).To(BeEmpty())
	})

	It("does nothing more of what waited when that kills it, and holds the rest when that freezes it", func() {
		process.Frozen = true
		process.Do(note("a"))
		process.Do(func() { process.Frozen = true })
		process.Do(note("b"))
		process.Thaw()
		Expect(seen).To(Equal([]string{"a"}))
		process.Do(process.Kill)
		process.Do(note("c"))
		process.Thaw()
		Expect(seen).To(Equal([]string{"a", "b"}))
	})
})
