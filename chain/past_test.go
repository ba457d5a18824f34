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

// testCluster is a core of three members whose disks and links take no time. A member that is down receives nothing.
type testCluster struct {
	replicas []*Replica
	down     map[int]bool
	now      time.Duration
	pending  []delivery
	// bytes counts what was sent to each member.
	bytes map[int]int
	// newest is the newest committed version.
	newest contract.Version
}

type delivery struct {
	to    int
	event contract.Event
}

func newTestCluster() *testCluster {
	result := &testCluster{down: map[int]bool{}, bytes: map[int]int{}}
	for index := range 3 {
		self := contract.CoreNode{Name: fmt.Sprintf("m%d-control", index), ID: "disk", Address: fmt.Sprint(index)}
		result.replicas = append(result.replicas, New(self, "start", 3, env.DefaultBounds(), Recovered{}, rand.New(rand.NewPCG(uint64(index), 1))))
	}
	result.until(func() bool { return result.head() != nil })
	return result
}

// replace restarts a member with an empty disk.
func (cluster *testCluster) replace(index int) {
	self := contract.CoreNode{Name: fmt.Sprintf("m%d-control", index), ID: "another disk", Address: fmt.Sprint(index)}
	cluster.replicas[index] = New(self, "another start", 3, env.DefaultBounds(), Recovered{}, rand.New(rand.NewPCG(uint64(index), 2)))
	cluster.replicas[index].AllowBootstrap(false)
	cluster.bytes[index] = 0
}

func (cluster *testCluster) head() *Replica {
	for index, replica := range cluster.replicas {
		if !cluster.down[index] && replica.AcceptsWrites() {
			return replica
		}
	}
	return nil
}

func (cluster *testCluster) execute(from int, commands []contract.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case Persist:
			cluster.pending = append(cluster.pending, delivery{from, Persisted{Token: command.Token}})
		case Committed:
			if cluster.newest.Position.Before(command.Version.Position) {
				cluster.newest = command.Version
			}
		case contract.Send:
			body, err := json.Marshal(command.Body)
			if err != nil {
				panic(err)
			}
			to := int(command.To[0] - '0')
			cluster.bytes[to] += len(body)
			cluster.pending = append(cluster.pending, delivery{to, contract.Message{Kind: command.Kind, From: cluster.replicas[from].self.Name, Body: body}})
		}
	}
}

func (cluster *testCluster) deliverAll() {
	for len(cluster.pending) > 0 {
		next := cluster.pending[0]
		cluster.pending = cluster.pending[1:]
		if !cluster.down[next.to] {
			cluster.execute(next.to, cluster.replicas[next.to].Handle(cluster.now, next.event))
		}
	}
}

func (cluster *testCluster) tick() {
	cluster.now += env.DefaultBounds().Tick()
	membership := Membership{NewestVersion: cluster.newest}
	for index, replica := range cluster.replicas {
		if !cluster.down[index] {
			membership.Members = append(membership.Members, contract.Member{Name: replica.self.Name, CoreID: replica.self.ID, Core: true, Address: replica.self.Address, View: replica.view.Number})
		}
	}
	for index, replica := range cluster.replicas {
		if !cluster.down[index] {
			cluster.execute(index, replica.Handle(cluster.now, membership))
		}
	}
	cluster.deliverAll()
}

const maxTicks = 2000

func (cluster *testCluster) until(holds func() bool) {
	for range maxTicks {
		if holds() {
			return
		}
		cluster.tick()
	}
	panic("condition not reached")
}

// itemChange returns a change that sets one part.
func itemChange(content string) document.Change {
	change := document.Change{}
	change.SetPart("/item", content)
	return change
}

func (cluster *testCluster) write(number int, change document.Change) {
	head := cluster.head()
	for index, replica := range cluster.replicas {
		if replica == head {
			_, commands := head.Submit(cluster.now, contract.OperationID(fmt.Sprint(number), "f"), change)
			cluster.execute(index, commands)
		}
	}
	cluster.deliverAll()
}

// BenchmarkWrite measures one write through a chain of three, and one tick of all members, after a number of earlier writes.
func BenchmarkWrite(b *testing.B) {
	for _, past := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprintf("past=%d", past), func(b *testing.B) {
			core := newTestCluster()
			for number := range past {
				core.write(number, itemChange(fmt.Sprint(number)))
			}
			b.ResetTimer()
			for number := range b.N {
				core.write(past+number, itemChange(fmt.Sprint(past+number)))
			}
		})
		b.Run(fmt.Sprintf("tick/past=%d", past), func(b *testing.B) {
			core := newTestCluster()
			for number := range past {
				core.write(number, itemChange(fmt.Sprint(number)))
			}
			b.ResetTimer()
			for range b.N {
				core.tick()
			}
		})
	}
}

// BenchmarkCatchUp measures a member that missed 1,000 changes of 200 KB and joins the chain again.
func BenchmarkCatchUp(b *testing.B) {
	const missed, size = 1000, 200 << 10
	for range b.N {
		b.StopTimer()
		core := newTestCluster()
		core.down[2] = true
		core.until(func() bool { head := core.head(); return head != nil && len(head.view.Chain) == 2 })
		for number := range missed {
			core.write(number, itemChange(fmt.Sprintf("%q", fmt.Sprintf("%0*d", size-2, number))))
		}
		core.down[2], core.bytes[2] = false, 0
		began := core.now
		b.StartTimer()
		core.until(func() bool { return len(core.replicas[2].view.Chain) == 3 && core.replicas[2].Committed() == missed })
		b.ReportMetric(float64(core.bytes[2])/1e6, "MB/catch-up")
		b.ReportMetric((core.now - began).Seconds(), "virtual-s/catch-up")
		b.ReportMetric(float64(len(core.replicas[2].versions)), "versions")
	}
}
