package virtual

import (
	"os"
	"time"

	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	"github.com/cedarreel/cedarreel/image"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ image.Files = &Disk{}

var _ = Describe("the simulated disk", func() {
	var scheduler *Scheduler
	var latency []time.Duration
	var seen []string

	BeforeEach(func() { scheduler, latency, seen = &Scheduler{}, nil, nil })

	given := func(options DiskOptions) *Disk {
		options.Latency = func() time.Duration {
			if len(latency) == 0 {
				return time.Second
			}
			first := latency[0]
			latency = latency[1:]
			return first
		}
		return NewDisk(scheduler, options)
	}
	note := func(name string) func() {
		return func() { seen = append(seen, name+" at "+scheduler.Now.String()) }
	}
	write := func(disk *Disk, name, content string) {
		GinkgoHelper()
		Expect(disk.WriteTemp(name+".aside", []byte(content))).To(Succeed())
		Expect(disk.Rename(name+".aside", name)).To(Succeed())
	}
	saved := func(disk *Disk, name, content string) {
		GinkgoHelper()
		write(disk, name, content)
		Expect(disk.SyncFolder()).To(Succeed())
		disk.Acknowledged()
	}
	holds := func(disk *Disk) map[string]string {
		GinkgoHelper()
		names, failure := disk.List()
		Expect(failure).NotTo(HaveOccurred())
		held := map[string]string{}
		for _, name := range names {
			content, failure := disk.Read(name)
			Expect(failure).NotTo(HaveOccurred())
			held[name] = string(content)
		}
		return held
	}

	for name, options := range map[string]DiskOptions{"kind": {}, "strict": {LosesUnsynced: true, Serial: true, Retry: 20 * time.Millisecond}} {
		Context("that is "+name, func() {
			It("is a folder whose names are sorted and whose files are its own", func() {
				disk, content := given(options), []byte("one")
				Expect(disk.WriteTemp("b", content)).To(Succeed())
				Expect(disk.WriteTemp("a", []byte("two"))).To(Succeed())
				copy(content, "xxx")
				Expect(disk.List()).To(Equal([]string{"a", "b"}))
				Expect(disk.Read("b")).To(Equal([]byte("one")))
				Expect(disk.Rename("b", "a")).To(Succeed())
				Expect(holds(disk)).To(Equal(map[string]string{"a": "one"}))
				Expect(disk.Remove("a")).To(Succeed())
				_, failure := disk.Read("a")
				Expect(failure).To(MatchError(os.ErrNotExist))
				Expect(disk.Rename("a", "b")).To(MatchError(os.ErrNotExist))
			})

			It("refuses writes while it is full and keeps what it has", func() {
				disk := given(options)
				saved(disk, "a", "one")
				disk.Full = true
				Expect(disk.WriteTemp("a", []byte("two"))).NotTo(Succeed())
				Expect(holds(disk)).To(Equal(map[string]string{"a": "one"}))
				disk.Full = false
				Expect(disk.WriteTemp("a", []byte("two"))).To(Succeed())
			})

			It("keeps through a loss of power what was synced", func() {
				disk := given(options)
				saved(disk, "a", "one")
				disk.LosePower()
				disk.LosePower()
				Expect(holds(disk)).To(Equal(map[string]string{"a": "one"}))
			})

			It("takes back so many acknowledged saves as it lied about, once", func() {
				disk := given(options)
				for _, content := range []string{"one", "two", "three", "four"} {
					saved(disk, "a", content)
				}
				disk.Lies = 2
				disk.LosePower()
				Expect(holds(disk)).To(Equal(map[string]string{"a": "two"}))
				disk.LosePower()
				Expect(holds(disk)).To(Equal(map[string]string{"a": "two"}))
				disk.Lies = 9
				saved(disk, "b", "five")
				disk.LosePower()
				Expect(holds(disk)).To(Equal(map[string]string{"a": "two", "b": "five"}), "the first save since is all that it knows")
			})

			It("goes back no further than it remembers", func() {
				disk := given(options)
				for number := range 3 * historyMost {
					saved(disk, "a", string(rune('A'+number)))
				}
				disk.Lies = 3 * historyMost
				disk.LosePower()
				Expect(holds(disk)).To(Equal(map[string]string{"a": string(rune('A' + 2*historyMost))}))
			})

			It("cuts the last file in half when it is torn, once, and the image is put aside", func() {
				disk, version := given(options), contract.NewVersion(contract.Position{View: 1, Revision: 1}, "", document.Empty())
				Expect(image.Save(disk, chain.Persist{Writes: []chain.Write{{Version: version}}})).To(Succeed())
				disk.LosePower()
				recovered, failure := image.Load(disk)
				Expect(failure).NotTo(HaveOccurred())
				Expect(recovered.Versions).To(HaveLen(1))
				disk.Torn = true
				disk.LosePower()
				recovered, failure = image.Load(disk)
				Expect(failure).NotTo(HaveOccurred())
				Expect(recovered.Versions).To(BeEmpty())
				Expect(recovered.Damaged).To(HaveLen(1))
				Expect(disk.SyncFolder()).To(Succeed())
				before := holds(disk)
				disk.LosePower()
				Expect(holds(disk)).To(Equal(before))
			})

			It("is empty after a wipe, also when power is lost then, and forgets what waited", func() {
				disk := given(options)
				saved(disk, "a", "one")
				disk.Stalled = true
				disk.Save(note("lost"))
				scheduler.RunUntil(10 * time.Second)
				disk.Wipe()
				disk.Lies = 1
				disk.LosePower()
				disk.Stalled = false
				disk.Resume()
				scheduler.RunUntil(time.Minute)
				Expect(holds(disk)).To(BeEmpty())
				Expect(seen).To(BeEmpty())
			})

			It("saves after its latency, not while it stalls, and never what was abandoned", func() {
				disk := given(options)
				disk.Save(note("a"))
				scheduler.RunUntil(time.Second - 1)
				Expect(seen).To(BeEmpty())
				scheduler.RunUntil(time.Second)
				Expect(seen).To(Equal([]string{"a at 1s"}))
				disk.Stalled = true
				disk.Save(note("b"))
				scheduler.RunUntil(10 * time.Second)
				disk.Resume()
				Expect(seen).To(HaveLen(1), "the stall lasts")
				disk.Abandon()
				disk.Stalled = false
				disk.Resume()
				scheduler.RunUntil(time.Minute)
				Expect(seen).To(HaveLen(1))
				disk.Save(note("c"))
				scheduler.RunUntil(2 * time.Minute)
				Expect(seen).To(Equal([]string{"a at 1s", "c at 1m1s"}))
			})
		})
	}

	It("loses what was not synced only if it is told to", func() {
		for _, loses := range []bool{false, true} {
			disk := given(DiskOptions{LosesUnsynced: loses})
			saved(disk, "a", "one")
			write(disk, "a", "two")
			write(disk, "b", "three")
			disk.LosePower()
			if loses {
				Expect(holds(disk)).To(Equal(map[string]string{"a": "one"}))
			} else {
				Expect(holds(disk)).To(Equal(map[string]string{"a": "two", "b": "three"}))
			}
		}
	})

	It("keeps or loses each unsynced name by itself where it is asked to", func() {
		for _, keeps := range []bool{true, false} {
			disk := given(DiskOptions{LosesUnsynced: true})
			saved(disk, "a", "one")
			saved(disk, "b", "two")
			write(disk, "a", "three")
			write(disk, "c", "four")
			Expect(disk.Remove("b")).To(Succeed())
			asked := 0
			disk.LosePowerByName(func() bool {
				asked++
				return keeps
			})
			Expect(asked).To(Equal(3), "a is changed, b removed, c made")
			if keeps {
				Expect(holds(disk)).To(Equal(map[string]string{"a": "three", "c": "four"}))
			} else {
				Expect(holds(disk)).To(Equal(map[string]string{"a": "one", "b": "two"}))
			}
			before := holds(disk)
			disk.LosePower()
			Expect(holds(disk)).To(Equal(before), "what is left lasts")
		}
	})

	It("lets saves overlap, so that a later one may be over first", func() {
		disk := given(DiskOptions{})
		latency = []time.Duration{3 * time.Second, time.Second}
		disk.Save(note("first"))
		disk.Save(note("second"))
		scheduler.RunUntil(time.Minute)
		Expect(seen).To(Equal([]string{"second at 1s", "first at 3s"}))
	})

	It("lets all saves that a stall held up go on at its end, in their order", func() {
		disk := given(DiskOptions{})
		disk.Stalled = true
		disk.Save(note("first"))
		disk.Save(note("second"))
		scheduler.RunUntil(10 * time.Second)
		disk.Stalled = false
		disk.Resume()
		Expect(seen).To(Equal([]string{"first at 10s", "second at 10s"}))
	})

	It("saves one after the other when it is serial, each with a latency of its own", func() {
		disk := given(DiskOptions{Serial: true})
		latency = []time.Duration{3 * time.Second, time.Second}
		disk.Save(note("first"))
		disk.Save(note("second"))
		scheduler.RunUntil(time.Minute)
		Expect(seen).To(Equal([]string{"first at 3s", "second at 4s"}))
	})

	It("goes on by itself after a stall when it is serial, at the next look and after the latency", func() {
		disk := given(DiskOptions{Serial: true, Retry: 300 * time.Millisecond})
		disk.Stalled = true
		disk.Save(note("first"))
		disk.Save(note("second"))
		scheduler.RunUntil(1200 * time.Millisecond)
		disk.Stalled = false
		disk.Resume()
		Expect(seen).To(BeEmpty())
		scheduler.RunUntil(time.Minute)
		Expect(seen).To(Equal([]string{"first at 2.3s", "second at 3.3s"}))
	})
})
