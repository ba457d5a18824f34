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
		disk.RecordSave()
	}
	holds := func(disk *Disk) map[string]string {
		GinkgoHelper()
		names, err := disk.List()
		Expect(err).NotTo(HaveOccurred())
		pending := map[string]string{}
		for _, name := range names {
			content, err := disk.Read(name)
			Expect(err).NotTo(HaveOccurred())
			pending[name] = string(content)
		}
		return pending
	}

	for name, options := range map[string]DiskOptions{"kind": {}, "strict": {LosesUnsynced: true, Serial: true, StallRetryInterval: 20 * time.Millisecond}} {
		Context("that is "+name, func() {
			It("lists names in order and keeps its own copies of files", func() {
				disk, content := given(options), []byte("one")
				Expect(disk.WriteTemp("b", content)).To(Succeed())
				Expect(disk.WriteTemp("a", []byte("two"))).To(Succeed())
				copy(content, "xxx")
				Expect(disk.List()).To(Equal([]string{"a", "b"}))
				Expect(disk.Read("b")).To(Equal([]byte("one")))
				Expect(disk.Rename("b", "a")).To(Succeed())
				Expect(holds(disk)).To(Equal(map[string]string{"a": "one"}))
				Expect(disk.Remove("a")).To(Succeed())
				_, err := disk.Read("a")
				Expect(err).To(MatchError(os.ErrNotExist))
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

			It("keeps what was synced through a power loss", func() {
				disk := given(options)
				saved(disk, "a", "one")
				disk.LosePower()
				disk.LosePower()
				Expect(holds(disk)).To(Equal(map[string]string{"a": "one"}))
			})

			It("loses the given number of acknowledged saves, once", func() {
				disk := given(options)
				for _, content := range []string{"one", "two", "three", "four"} {
					saved(disk, "a", content)
				}
				disk.LostSaves = 2
				disk.LosePower()
				Expect(holds(disk)).To(Equal(map[string]string{"a": "two"}))
				disk.LosePower()
				Expect(holds(disk)).To(Equal(map[string]string{"a": "two"}))
				disk.LostSaves = 9
				saved(disk, "b", "five")
				disk.LosePower()
				Expect(holds(disk)).To(Equal(map[string]string{"a": "two", "b": "five"}), "it can only go back to the first save after the last power loss")
			})

			It("loses no more saves than its history has", func() {
				disk := given(options)
				for number := range 3 * maxHistory {
					saved(disk, "a", string(rune('A'+number)))
				}
				disk.LostSaves = 3 * maxHistory
				disk.LosePower()
				Expect(holds(disk)).To(Equal(map[string]string{"a": string(rune('A' + 2*maxHistory))}))
			})

			It("cuts the last file in half, once, and the damaged image is moved aside", func() {
				disk, version := given(options), contract.NewVersion(contract.Position{View: 1, Revision: 1}, "", document.Empty())
				Expect(image.Save(disk, chain.Persist{Writes: []chain.Write{{Version: version}}})).To(Succeed())
				disk.LosePower()
				recovered, err := image.Load(disk)
				Expect(err).NotTo(HaveOccurred())
				Expect(recovered.Versions).To(HaveLen(1))
				disk.TearLastFile = true
				disk.LosePower()
				recovered, err = image.Load(disk)
				Expect(err).NotTo(HaveOccurred())
				Expect(recovered.Versions).To(BeEmpty())
				Expect(recovered.Damaged).To(HaveLen(1))
				Expect(disk.SyncFolder()).To(Succeed())
				before := holds(disk)
				disk.LosePower()
				Expect(holds(disk)).To(Equal(before))
			})

			It("is empty after a wipe, also after a following power loss, and discards pending saves", func() {
				disk := given(options)
				saved(disk, "a", "one")
				disk.Stalled = true
				disk.Save(note("lost"))
				scheduler.RunUntil(10 * time.Second)
				disk.Wipe()
				disk.LostSaves = 1
				disk.LosePower()
				disk.Stalled = false
				disk.Resume()
				scheduler.RunUntil(time.Minute)
				Expect(holds(disk)).To(BeEmpty())
				Expect(seen).To(BeEmpty())
			})

			It("saves after its latency, not while it is stalled, and never what was abandoned", func() {
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
				Expect(seen).To(HaveLen(1), "the disk is still stalled")
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

	It("loses what was not synced only with that option", func() {
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

	It("keeps or reverts each unsynced file on its own in a partial power loss", func() {
		for _, keeps := range []bool{true, false} {
			disk := given(DiskOptions{LosesUnsynced: true})
			saved(disk, "a", "one")
			saved(disk, "b", "two")
			write(disk, "a", "three")
			write(disk, "c", "four")
			Expect(disk.Remove("b")).To(Succeed())
			asked := 0
			disk.LosePowerPartially(func() bool {
				asked++
				return keeps
			})
			Expect(asked).To(Equal(3), "a is changed, b removed, c created")
			if keeps {
				Expect(holds(disk)).To(Equal(map[string]string{"a": "three", "c": "four"}))
			} else {
				Expect(holds(disk)).To(Equal(map[string]string{"a": "one", "b": "two"}))
			}
			before := holds(disk)
			disk.LosePower()
			Expect(holds(disk)).To(Equal(before), "what is left is durable")
		}
	})

	It("lets saves overlap, so that a later one may end first", func() {
		disk := given(DiskOptions{})
		latency = []time.Duration{3 * time.Second, time.Second}
		disk.Save(note("first"))
		disk.Save(note("second"))
		scheduler.RunUntil(time.Minute)
		Expect(seen).To(Equal([]string{"second at 1s", "first at 3s"}))
	})

	It("runs all saves that a stall has delayed at its end, in order", func() {
		disk := given(DiskOptions{})
		disk.Stalled = true
		disk.Save(note("first"))
		disk.Save(note("second"))
		scheduler.RunUntil(10 * time.Second)
		disk.Stalled = false
		disk.Resume()
		Expect(seen).To(Equal([]string{"first at 10s", "second at 10s"}))
	})

	It("saves one after the other when it is serial, each with its own latency", func() {
		disk := given(DiskOptions{Serial: true})
		latency = []time.Duration{3 * time.Second, time.Second}
		disk.Save(note("first"))
		disk.Save(note("second"))
		scheduler.RunUntil(time.Minute)
		Expect(seen).To(Equal([]string{"first at 3s", "second at 4s"}))
	})

	It("resumes by itself after a stall when it is serial, at the next check and after the latency", func() {
		disk := given(DiskOptions{Serial: true, StallRetryInterval: 300 * time.Millisecond})
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
