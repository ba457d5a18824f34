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
	result := &trio{away: map[int]bool{}, bytes: map[int]int{}}
	for index := range 3 {
		self := contract.CoreNode{Name: fmt.Sprintf("m%d-control", index), ID: "disk", Address: fmt.Sprint(index)}
		result.owners = append(result.owners, New(self, "start", 3, env.DefaultBounds(), Recovered{}, rand.New(rand.NewPCG(uint64(index), 1))))
	}
	result.until(func() bool { return result.head() != nil })
	return result
}

// replace gives a member an empty disk.
func (trio *trio) replace(index int) {
	self := contract.CoreNode{Name: fmt.Sprintf("m%d-control", index), ID: "another disk", Address: fmt.Sprint(index)}
	trio.owners[index] = New(self, "another start", 3, env.DefaultBounds(), Recovered{}, rand.New(rand.NewPCG(uint64(index), 2)))
	trio.owners[index].AllowBootstrap(false)
	trio.bytes[index] = 0
}

func (trio *trio) head() *Replica {
	for index, replica := range trio.owners {
		if !trio.away[index] && replica.AcceptsWrites() {
			return replica
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
	membership := Membership{NewestVersion: trio.held}
	for index, replica := range trio.owners {
		if !trio.away[index] {
			membership.Members = append(membership.Members, contract.Member{Name: replica.self.Name, CoreID: replica.self.ID, Core: true, Address: replica.self.Address, View: replica.view.Number})
		}
	}
	for index, replica := range trio.owners {
		if !trio.away[index] {
			trio.take(index, replica.Handle(trio.now, membership))
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
	change.Put("/item", content)
	return change
}

func (trio *trio) write(viewNumber int, change document.Change) {
	head := trio.head()
	for index, replica := range trio.owners {
		if replica == head {
			_, commands := head.Submit(trio.now, contract.OperationID(fmt.Sprint(viewNumber), "f"), change)
			trio.take(index, commands)
		}
	}
	trio.settle()
}

// BenchmarkWrite is one write through a chain of three, and one tick of its head, after so many writes before it.
func BenchmarkWrite(b *testing.B) {
	for _, past := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprintf("past=%d", past), func(b *testing.B) {
			core := newTrio()
			for viewNumber := range past {
				core.write(viewNumber, item(fmt.Sprint(viewNumber)))
			}
			b.ResetTimer()
			for viewNumber := range b.N {
				core.write(past+viewNumber, item(fmt.Sprint(past+viewNumber)))
			}
		})
		b.Run(fmt.Sprintf("tick/past=%d", past), func(b *testing.B) {
			core := newTrio()
			for viewNumber := range past {
				core.write(viewNumber, item(fmt.Sprint(viewNumber)))
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
		for viewNumber := range missed {
			core.write(viewNumber, item(fmt.Sprintf("%q", fmt.Sprintf("%0*d", size-2, viewNumber))))
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
