package gateway

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	"github.com/cedarreel/cedarreel/feed"
	"github.com/cedarreel/cedarreel/neighbour"
	"github.com/cedarreel/cedarreel/shard"
	. "github.com/onsi/gomega"
)

const regions = `{"regions":{"east":{"shards":2,"machines":[]},"west":{"shards":1,"machines":[]}},` +
	`"zones":{"east-a":{"region":"east"},"east-b":{"region":"east"},"west-a":{"region":"west"}}}`

func message(kind, from string, body any) contract.Message {
	content, failure := json.Marshal(body)
	Expect(failure).NotTo(HaveOccurred())
	return contract.Message{Kind: kind, From: from, Body: content}
}

// follower is a node with a clock of its own and what it told since.
type follower struct {
	*Node
	now  time.Duration
	beat int64
	told []contract.Command
}

func following() *follower {
	made := &follower{Node: NewNode(settingsFor("node000"), "boot", NewTraffic(settingsFor("node000"), seeded(3)), seeded(3)), now: time.Second}
	made.take(configured())
	made.take(contract.Tick{})
	return made
}

func configured() contract.Message {
	content, failure := document.Parse([]byte(regions))
	if failure != nil {
		panic(failure)
	}
	version := contract.NewVersion(contract.Position{View: 1, Revision: 1}, "", content)
	return message(feed.MessageDelivery, "", feed.Delivery{Records: []contract.Record{version.FullRecord()}})
}

func (node *follower) take(event contract.Event) []contract.Command {
	commands := node.Node.Handle(node.now, event)
	node.told = append(node.told, commands...)
	return commands
}

func (node *follower) meets(members ...contract.Member) {
	for _, member := range members {
		node.beat++
		if member.Incarnation = max(member.Incarnation, 1); member.Heartbeat == 0 {
			member.Heartbeat = node.beat
		}
		node.take(message(neighbour.MessageShuffle, member.Name, neighbour.Shuffle{Members: []contract.Member{member}, IsReply: true}))
	}
	node.now += 10 * time.Millisecond
}

func dataNode(name, zone, host string) contract.Member {
	return contract.Member{Name: name + "-data", Boot: "boot", Kind: contract.KindData, Zone: zone, Region: strings.Split(zone, "-")[0], Address: host + ":7720",
		Position: contract.Position{View: 1, Revision: 1}}
}

// lists gives the names that each list told to the owner of the calls has.
func lists(commands []contract.Command) [][]string {
	all := [][]string{}
	for _, command := range commands {
		update, fine := command.(Update)
		listed, list := update.Event.(Listed)
		if !fine || !list {
			continue
		}
		names := []string{}
		for _, server := range listed.Servers {
			names = append(names, server.Name)
		}
		all = append(all, names)
	}
	return all
}

func lease(epoch, number int64, asked time.Duration, names ...string) contract.Lease {
	given := contract.Lease{Region: "east", Epoch: contract.Epoch{Number: epoch, Node: "owner"}, Number: number, RequestSentAt: asked}
	for _, name := range names {
		given.Servers = append(given.Servers, candidate(name, "east-a"))
	}
	return given
}

var _ = Describe("the lists of servers of a node", func() {
	give := func(node *follower, given contract.Lease) [][]string {
		return lists(node.take(message(shard.MessageLease, "owner-control", given)))
	}

	It("given a first list, when another of a higher epoch or number comes, then it is taken", func() {
		node := following()
		Expect(give(node, lease(1, 4, 100, "a"))).To(Equal([][]string{{"a"}}))
		Expect(give(node, lease(1, 5, 200, "a", "b"))).To(Equal([][]string{{"a", "b"}}))
		Expect(give(node, lease(2, 1, 300, "c"))).To(Equal([][]string{{"c"}}))
	})

	It("given a list, when one of a lower epoch, a lower number or an earlier question comes, then it changes nothing", func() {
		node := following()
		give(node, lease(3, 4, 500, "a"))
		Expect(give(node, lease(2, 9, 600, "b"))).To(BeEmpty())
		Expect(node.told).To(ContainElement(contract.AddCounter{Name: "lists_refused", Delta: 1}))
		Expect(give(node, lease(3, 3, 600, "b"))).To(BeEmpty())
		Expect(give(node, lease(3, 5, 400, "b"))).To(BeEmpty())
		Expect(give(node, lease(3, 5, 600, "b"))).To(Equal([][]string{{"b"}}))
	})

	It("given two owners of one epoch number, when both tell lists, then only one of them holds in the end", func() {
		for _, order := range [][]string{{"left", "right", "left"}, {"right", "left", "right"}} {
			node, held := following(), []string{}
			for place, owner := range order {
				given := lease(3, int64(place+1), time.Duration(place+1), owner)
				given.Epoch.Node = owner
				for _, names := range give(node, given) {
					held = names
				}
			}
			Expect(held).To(Equal([]string{"right"}))
		}
	})

	It("given a list from a question of the future, when it comes, then it is refused", func() {
		node := following()
		Expect(give(node, lease(1, 1, node.now+time.Second, "a"))).To(BeEmpty())
	})

	It("given a list, when the answer is that it is the same, then it stays, and one that is the same as another is not taken", func() {
		node := following()
		give(node, lease(2, 2, 100, "a"))
		same := lease(2, 2, 300)
		same.Unchanged = true
		Expect(give(node, same)).To(BeEmpty())
		Expect(give(node, lease(2, 2, 200))).To(BeEmpty(), "the answer that it is the same is newer")
		other := lease(4, 2, 400)
		other.Unchanged = true
		Expect(give(node, other)).To(BeEmpty())
		Expect(give(node, lease(3, 1, 500, "b"))).To(Equal([][]string{{"b"}}), "the epoch of a list that was never taken binds nobody")
	})

	It("given two shards, when each tells its list, then both are told together", func() {
		node := following()
		give(node, lease(1, 1, 100, "a"))
		second := lease(1, 1, 200, "b")
		second.Shard = 1
		Expect(give(node, second)).To(Equal([][]string{{"a", "b"}}))
	})

	It("given lists of shards or regions that are not known, when they come, then they are refused", func() {
		node := following()
		for _, change := range []func(*contract.Lease){func(given *contract.Lease) { given.Shard = 2 }, func(given *contract.Lease) { given.Region = "moon" }} {
			given := lease(9, 9, 100, "a")
			change(&given)
			Expect(give(node, given)).To(BeEmpty())
		}
	})

	It("given a list, when the node asks again, then it tells the highest epoch and number and wants only what is new", func() {
		node := following()
		owner := contract.Member{Name: "owner-control", Boot: "b", Kind: contract.KindControl, Zone: "east-a", Region: "east", Address: "10.0.0.9:8166"}
		node.meets(owner)
		give(node, lease(3, 7, 100, "a"))
		node.now += node.askEvery() * 2
		asks := []contract.LeaseRequest{}
		for _, command := range node.take(contract.Tick{}) {
			if send, fine := command.(contract.Send); fine && send.Kind == shard.MessageLeaseRequest && send.To == owner.Address {
				asks = append(asks, send.Body.(contract.LeaseRequest))
			}
		}
		Expect(asks).To(HaveLen(3), "two shards of the east, and the west, which has no node of its own")
		Expect(asks[0].HighestEpoch).To(Equal(contract.Epoch{Number: 3, Node: "owner"}))
		Expect(asks[0].Number).To(Equal(int64(7)))
		Expect(asks[0].OmitUnchanged).To(BeTrue())
		Expect(asks[1].OmitUnchanged).To(BeFalse())
	})
})

var _ = Describe("a look-up of nodes", func() {
	look := func(node *follower, region, zone string) []string {
		for _, command := range node.take(Lookup{Token: 5, Region: region, Zone: zone}) {
			if answer, fine := command.(contract.Response); fine {
				Expect(answer.Token).To(Equal(int64(5)))
				return answer.Body.(Addresses).Addresses
			}
		}
		return nil
	}
	fleet := func() *follower {
		node := following()
		node.meets(dataNode("a2", "east-a", "10.0.0.2"), dataNode("b1", "east-b", "10.0.1.1"), dataNode("w1", "west-a", "10.1.0.1"),
			contract.Member{Name: "c1-control", Boot: "boot", Kind: contract.KindControl, Zone: "east-a", Region: "east", Address: "10.0.0.8:8166", Position: contract.Position{View: 1, Revision: 1}})
		return node
	}

	It("given enough nodes in the caller's zone, when it asks, then only those are told, at the port that takes calls", func() {
		Expect(look(fleet(), "east", "east-a")).To(ConsistOf("10.0.0.1:8161", "10.0.0.2:8161"))
	})

	It("given too few nodes in the zone, when it asks, then those of the region are told", func() {
		Expect(look(fleet(), "east", "east-b")).To(ConsistOf("10.0.0.1:8161", "10.0.0.2:8161", "10.0.1.1:8161"))
	})

	It("given too few nodes in the region, when it asks, then all are told", func() {
		Expect(look(fleet(), "west", "west-a")).To(HaveLen(4))
		Expect(look(fleet(), "moon", "moon-a")).To(HaveLen(4))
	})

	It("given nodes that said goodbye or have no configuration, when a caller asks, then they are left out", func() {
		node := fleet()
		node.take(message(neighbour.MessageLeave, "a2-data", neighbour.Leave{Name: "a2-data", Boot: "boot"}))
		blank := dataNode("a3", "east-a", "10.0.0.3")
		blank.Position = contract.Position{}
		node.meets(blank)
		Expect(look(node, "east", "east-a")).To(ConsistOf("10.0.0.1:8161", "10.0.1.1:8161"))
	})

	It("given a goodbye of an earlier start, when a caller asks, then the node's new start is told", func() {
		node := fleet()
		node.take(message(neighbour.MessageLeave, "a2-data", neighbour.Leave{Name: "a2-data", Boot: "former"}))
		Expect(look(node, "east", "east-a")).To(ContainElement("10.0.0.2:8161"))
	})

	It("given a node that has no configuration itself, when a caller asks, then it does not name itself", func() {
		node := &follower{Node: NewNode(settingsFor("node000"), "boot", NewTraffic(settingsFor("node000"), seeded(3)), seeded(3)), now: time.Second}
		node.take(contract.Tick{})
		Expect(look(node, "east", "east-a")).To(BeEmpty())
	})

	It("given a great many nodes, when a caller asks, then it is told no more than it may take", func() {
		node := following()
		for place := range 90 {
			node.meets(dataNode(fmt.Sprintf("m%02d", place), "east-a", fmt.Sprintf("10.0.2.%d", place)))
		}
		found := look(node, "east", "east-a")
		Expect(found).To(HaveLen(mostAddresses))
		seen := map[string]bool{}
		for _, address := range found {
			seen[address] = true
		}
		Expect(seen).To(HaveLen(mostAddresses))
	})
})

var _ = Describe("the fleet that shares the limits", func() {
	It("given nodes that fell silent, when the fleet is told, then they still count, and those that said goodbye do not", func() {
		node := following()
		node.meets(dataNode("a2", "east-a", "10.0.0.2"), dataNode("a3", "east-a", "10.0.0.3"))
		node.take(message(neighbour.MessageLeave, "a3-data", neighbour.Leave{Name: "a3-data", Boot: "boot"}))
		var last Fleet
		for range 100 {
			node.now += 100 * time.Millisecond
			for _, command := range node.take(contract.Tick{}) {
				if update, fine := command.(Update); fine {
					if told, fleet := update.Event.(Fleet); fleet {
						last = told
					}
				}
			}
		}
		Expect(last).To(Equal(Fleet{Self: "node000-data", Names: []string{"a2-data", "node000-data"}}))
	})
})

var _ = Describe("lists of an owner that began anew", func() {
	It("given an owner that restarted under the number of its former self, when its list has a lower number, then the list is taken", func() {
		node := following()
		node.take(contract.Tick{})
		former := lease(2, 5, node.now, "a", "b")
		former.Epoch.Incarnation = "first"
		Expect(lists(node.take(message(shard.MessageLease, "owner-control", former)))).To(HaveLen(1))
		node.now += time.Second
		reborn := lease(2, 1, node.now, "a")
		reborn.Epoch.Incarnation = "second"
		Expect(lists(node.take(message(shard.MessageLease, "owner-control", reborn)))).To(Equal([][]string{{"a"}}))
	})
})
