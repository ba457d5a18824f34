package chain

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	"github.com/cedarreel/cedarreel/env"
)

// trio is a core of three members whose disks and links take no time; a member that is away gets nothing.
type trio struct {
	owners  []*Replica
	away    map[int]bool
	now     time.Duration
	pending []delivery
	// bytes counts what was sent to each member.
	bytes map[int]int
	// held is the newest version that the feed brought.
	held contract.Version
}

type delivery struct {
	to    int
	event contract.Event
}

func newTrio() *trio {
	made := &trio{away: map[int]bool{}, bytes: map[int]int{}}
	for place := range 3 {
		self := contract.CoreNode{Name: fmt.Sprintf("m%d-control", place), ID: "disk", Address: fmt.Sprint(place)}
		made.owners = append(made.owners, New(self, "start", 3, env.DefaultBounds(), Recovered{}, rand.New(rand.NewPCG(uint64(place), 1))))
	}
	made.until(func() bool { return made.head() != nil })
	return made
}

// replace gives a member an empty disk.
func (trio *trio) replace(place int) {
	self := contract.CoreNode{Name: fmt.Sprintf("m%d-control", place), ID: "another disk", Address: fmt.Sprint(place)}
	trio.owners[place] = New(self, "another start", 3, env.DefaultBounds(), Recovered{}, rand.New(rand.NewPCG(uint64(place), 2)))
	trio.owners[place].AllowBootstrap(false)
	trio.bytes[place] = 0
}

func (trio *trio) head() *Replica {
	for place, owner := range trio.owners {
		if !trio.away[place] && owner.AcceptsWrites() {
			return owner
		}
	}
	return nil
}

func (trio *trio) take(from int, commands []contract.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case Persist:
			trio.pending = append(trio.pending, delivery{from, Persisted{Token: command.Token}})
		case Committed:
			if trio.held.Position.Before(command.Version.Position) {
				trio.held = command.Version
			}
		case contract.Send:
			body, err := json.Marshal(command.Body)
			if err != nil {
				panic(err)
			}
			to := int(command.To[0] - '0')
			trio.bytes[to] += len(body)
			trio.pending = append(trio.pending, delivery{to, contract.Message{Kind: command.Kind, From: trio.owners[from].self.Name, Body: body}})
		}
	}
}

func (trio *trio) settle() {
	for len(trio.pending) > 0 {
		next := trio.pending[0]
		trio.pending = trio.pending[1:]
		if !trio.away[next.to] {
			trio.take(next.to, trio.owners[next.to].Handle(trio.now, next.event))
		}
	}
}

func (trio *trio) tick() {
	trio.now += env.DefaultBounds().Tick()
	seen := Membership{NewestVersion: trio.held}
	for place, owner := range trio.owners {
		if !trio.away[place] {
			seen.Members = append(seen.Members, contract.Member{Name: owner.self.Name, CoreID: owner.self.ID, Core: true, Address: owner.self.Address, View: owner.view.Number})
		}
	}
	for place, owner := range trio.owners {
		if !trio.away[place] {
			trio.take(place, owner.Handle(trio.now, seen))
		}
	}
	trio.settle()
}

const patience = 2000

func (trio *trio) until(holds func() bool) {
	for range patience {
		if holds() {
			return
		}
		trio.tick()
	}
	panic("the core does not get there")
}

// item gives a change that sets one part.
func item(content string) document.Change {
	change := document.Change{}
	change.SetPart("/item", content)
	return change
}

func (trio *trio) write(number int, change document.Change) {
	head := trio.head()
	for place, owner := range trio.owners {
		if owner == head {
			_, commands := head.Submit(trio.now, contract.OperationID(fmt.Sprint(number), "f"), change)
			trio.take(place, commands)
		}
	}
	trio.settle()
}

// BenchmarkWrite is one write through a chain of three, and one tick of its head, after so many writes before it.
func BenchmarkWrite(b *testing.B) {
	for _, past := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprintf("past=%d", past), func(b *testing.B) {
			core := newTrio()
			for number := range past {
				core.write(number, item(fmt.Sprint(number)))
			}
			b.ResetTimer()
			for number := range b.N {
				core.write(past+number, item(fmt.Sprint(past+number)))
			}
		})
		b.Run(fmt.Sprintf("tick/past=%d", past), func(b *testing.B) {
			core := newTrio()
			for number := range past {
				core.write(number, item(fmt.Sprint(number)))
			}
			b.ResetTimer()
			for range b.N {
				core.tick()
			}
		})
	}
}

// BenchmarkCatchUp is a member that missed 1,000 changes of 200 KB and joins the chain again.
func BenchmarkCatchUp(b *testing.B) {
	const missed, size = 1000, 200 << 10
	for range b.N {
		b.StopTimer()
		core := newTrio()
		core.away[2] = true
		core.until(func() bool { head := core.head(); return head != nil && len(head.view.Chain) == 2 })
		for number := range missed {
			core.write(number, item(fmt.Sprintf("%q", fmt.Sprintf("%0*d", size-2, number))))
		}
		core.away[2], core.bytes[2] = false, 0
		began := core.now
		b.StartTimer()
		core.until(func() bool { return len(core.owners[2].view.Chain) == 3 && core.owners[2].Committed() == missed })
		b.ReportMetric(float64(core.bytes[2])/1e6, "MB/catch-up")
		b.ReportMetric((core.now - began).Seconds(), "virtual-s/catch-up")
		b.ReportMetric(float64(len(core.owners[2].versions)), "versions")
	}
}
