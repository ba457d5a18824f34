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

const regionsManifest = `{"regions":{"east":{"shards":2,"machines":[]},"west":{"shards":1,"machines":[]}},` +
	`"zones":{"east-a":{"region":"east"},"east-b":{"region":"east"},"west-a":{"region":"west"}}}`

func message(kind, from string, body any) contract.Message {
	content, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	return contract.Message{Kind: kind, From: from, Body: content}
}

// testNode is a node with its own clock; it records all commands.
type testNode struct {
	*Node
	now       time.Duration
	heartbeat int64
	commands  []contract.Command
}

func startedNode() *testNode {
	node := &testNode{Node: NewNode(settingsFor("node000"), "boot", NewRouter(settingsFor("node000"), seededRandom(3)), seededRandom(3)), now: time.Second}
	node.process(manifestMessage())
	node.process(contract.Tick{})
	return node
}

func manifestMessage() contract.Message {
	content, err := document.Parse([]byte(regionsManifest))
	if err != nil {
		panic(err)
	}
	version := contract.NewVersion(contract.Position{View: 1, Revision: 1}, "", content)
	return message(feed.MessageDelivery, "", feed.Delivery{Records: []contract.Record{version.FullRecord()}})
}

func (node *testNode) process(event contract.Event) []contract.Command {
	commands := node.Node.Handle(node.now, event)
	node.commands = append(node.commands, commands...)
	return commands
}

func (node *testNode) addMembers(members ...contract.Member) {
	for _, member := range members {
		node.heartbeat++
		if member.Incarnation = max(member.Incarnation, 1); member.Heartbeat == 0 {
			member.Heartbeat = node.heartbeat
		}
		node.process(message(neighbour.MessageShuffle, member.Name, neighbour.Shuffle{Members: []contract.Member{member}, IsReply: true}))
	}
	node.now += 10 * time.Millisecond
}

func dataNode(name, zone, host string) contract.Member {
	return contract.Member{Name: name + "-data", Boot: "boot", Kind: contract.KindData, Zone: zone, Region: strings.Split(zone, "-")[0], Address: host + ":7720",
		Position: contract.Position{View: 1, Revision: 1}}
}

// listedNames returns the names of the servers in each ServersListed event for the router.
func listedNames(commands []contract.Command) [][]string {
	all := [][]string{}
	for _, command := range commands {
		update, ok := command.(Update)
		listed, isList := update.Event.(ServersListed)
		if !ok || !isList {
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

func leaseOf(epoch, number int64, asked time.Duration, names ...string) contract.Lease {
	given := contract.Lease{Region: "east", Epoch: contract.Epoch{Number: epoch, Node: "owner"}, Number: number, RequestSentAt: asked}
	for _, name := range names {
		given.Servers = append(given.Servers, candidate(name, "east-a"))
	}
	return given
}

var _ = Describe("the lists of servers of a node", func() {
	deliver := func(node *testNode, given contract.Lease) [][]string {
		return listedNames(node.process(message(shard.MessageLease, "owner-control", given)))
	}

	It("given a first list, when another of a higher epoch or number arrives, then it is accepted", func() {
		node := startedNode()
		Expect(deliver(node, leaseOf(1, 4, 100, "a"))).To(Equal([][]string{{"a"}}))
		Expect(deliver(node, leaseOf(1, 5, 200, "a", "b"))).To(Equal([][]string{{"a", "b"}}))
		Expect(deliver(node, leaseOf(2, 1, 300, "c"))).To(Equal([][]string{{"c"}}))
	})

	It("given a list, when one of a lower epoch, a lower number or an earlier request arrives, then it changes nothing", func() {
		node := startedNode()
		deliver(node, leaseOf(3, 4, 500, "a"))
		Expect(deliver(node, leaseOf(2, 9, 600, "b"))).To(BeEmpty())
		Expect(node.commands).To(ContainElement(contract.AddCounter{Name: "lists_refused", Delta: 1}))
		Expect(deliver(node, leaseOf(3, 3, 600, "b"))).To(BeEmpty())
		Expect(deliver(node, leaseOf(3, 5, 400, "b"))).To(BeEmpty())
		Expect(deliver(node, leaseOf(3, 5, 600, "b"))).To(Equal([][]string{{"b"}}))
	})

	It("given two owners of one epoch number, when both send lists, then only one of them holds in the end", func() {
		for _, order := range [][]string{{"left", "right", "left"}, {"right", "left", "right"}} {
			node, inForce := startedNode(), []string{}
			for index, owner := range order {
				given := leaseOf(3, int64(index+1), time.Duration(index+1), owner)
				given.Epoch.Node = owner
				for _, names := range deliver(node, given) {
					inForce = names
				}
			}
			Expect(inForce).To(Equal([]string{"right"}))
		}
	})

	It("given a list in answer to a request in the future, when it arrives, then it is refused", func() {
		node := startedNode()
		Expect(deliver(node, leaseOf(1, 1, node.now+time.Second, "a"))).To(BeEmpty())
	})

	It("given a list, when the answer is that it is unchanged, then it stays, and an answer that confirms another list is not accepted", func() {
		node := startedNode()
		deliver(node, leaseOf(2, 2, 100, "a"))
		same := leaseOf(2, 2, 300)
		same.Unchanged = true
		Expect(deliver(node, same)).To(BeEmpty())
		Expect(deliver(node, leaseOf(2, 2, 200))).To(BeEmpty(), "the confirmation is newer")
		other := leaseOf(4, 2, 400)
		other.Unchanged = true
		Expect(deliver(node, other)).To(BeEmpty())
		Expect(deliver(node, leaseOf(3, 1, 500, "b"))).To(Equal([][]string{{"b"}}), "the epoch of a list that was not accepted has no effect")
	})

	It("given two shards, when each gets its list, then the router gets both together", func() {
		node := startedNode()
		deliver(node, leaseOf(1, 1, 100, "a"))
		second := leaseOf(1, 1, 200, "b")
		second.Shard = 1
		Expect(deliver(node, second)).To(Equal([][]string{{"a", "b"}}))
	})

	It("given lists of unknown shards or regions, when they arrive, then they are refused", func() {
		node := startedNode()
		for _, change := range []func(*contract.Lease){func(given *contract.Lease) { given.Shard = 2 }, func(given *contract.Lease) { given.Region = "moon" }} {
			given := leaseOf(9, 9, 100, "a")
			change(&given)
			Expect(deliver(node, given)).To(BeEmpty())
		}
	})

	It("given a list, when the node requests it again, then it sends the highest epoch and number and wants only changes", func() {
		node := startedNode()
		owner := contract.Member{Name: "owner-control", Boot: "b", Kind: contract.KindControl, Zone: "east-a", Region: "east", Address: "10.0.0.9:8166"}
		node.addMembers(owner)
		deliver(node, leaseOf(3, 7, 100, "a"))
		node.now += node.listRequestInterval() * 2
		asks := []contract.LeaseRequest{}
		for _, command := range node.process(contract.Tick{}) {
			if send, ok := command.(contract.Send); ok && send.Kind == shard.MessageLeaseRequest && send.To == owner.Address {
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

var _ = Describe("a lookup of nodes", func() {
	lookUp := func(node *testNode, region, zone string) []string {
		for _, command := range node.process(Lookup{Token: 5, Region: region, Zone: zone}) {
			if answer, ok := command.(contract.Response); ok {
				Expect(answer.Token).To(Equal(int64(5)))
				return answer.Body.(Addresses).Addresses
			}
		}
		return nil
	}
	fleet := func() *testNode {
		node := startedNode()
		node.addMembers(dataNode("a2", "east-a", "10.0.0.2"), dataNode("b1", "east-b", "10.0.1.1"), dataNode("w1", "west-a", "10.1.0.1"),
			contract.Member{Name: "c1-control", Boot: "boot", Kind: contract.KindControl, Zone: "east-a", Region: "east", Address: "10.0.0.8:8166", Position: contract.Position{View: 1, Revision: 1}})
		return node
	}

	It("given enough nodes in the caller's zone, when it asks, then only those are returned, with the port that takes calls", func() {
		Expect(lookUp(fleet(), "east", "east-a")).To(ConsistOf("10.0.0.1:8161", "10.0.0.2:8161"))
	})

	It("given too few nodes in the zone, when a caller asks, then those of the region are returned", func() {
		Expect(lookUp(fleet(), "east", "east-b")).To(ConsistOf("10.0.0.1:8161", "10.0.0.2:8161", "10.0.1.1:8161"))
	})

	It("given too few nodes in the region, when a caller asks, then all are returned", func() {
		Expect(lookUp(fleet(), "west", "west-a")).To(HaveLen(4))
		Expect(lookUp(fleet(), "moon", "moon-a")).To(HaveLen(4))
	})

	It("given nodes that left or have no configuration, when a caller asks, then they are left out", func() {
		node := fleet()
		node.process(message(neighbour.MessageLeave, "a2-data", neighbour.Leave{Name: "a2-data", Boot: "boot"}))
		unconfigured := dataNode("a3", "east-a", "10.0.0.3")
		unconfigured.Position = contract.Position{}
		node.addMembers(unconfigured)
		Expect(lookUp(node, "east", "east-a")).To(ConsistOf("10.0.0.1:8161", "10.0.1.1:8161"))
	})

	It("given a farewell of an earlier start, when a caller asks, then the node's new start is returned", func() {
		node := fleet()
		node.process(message(neighbour.MessageLeave, "a2-data", neighbour.Leave{Name: "a2-data", Boot: "former"}))
		Expect(lookUp(node, "east", "east-a")).To(ContainElement("10.0.0.2:8161"))
	})

	It("given a node that has no configuration itself, when a caller asks, then it does not name itself", func() {
		node := &testNode{Node: NewNode(settingsFor("node000"), "boot", NewRouter(settingsFor("node000"), seededRandom(3)), seededRandom(3)), now: time.Second}
		node.process(contract.Tick{})
		Expect(lookUp(node, "east", "east-a")).To(BeEmpty())
	})

	It("given very many nodes, when a caller asks, then the number of addresses is limited", func() {
		node := startedNode()
		for index := range 90 {
			node.addMembers(dataNode(fmt.Sprintf("m%02d", index), "east-a", fmt.Sprintf("10.0.2.%d", index)))
		}
		found := lookUp(node, "east", "east-a")
		Expect(found).To(HaveLen(maxAddresses))
		seen := map[string]bool{}
		for _, address := range found {
			seen[address] = true
		}
		Expect(seen).To(HaveLen(maxAddresses))
	})
})

var _ = Describe("the fleet that shares the limits", func() {
	It("given suspected nodes, when the fleet is reported, then they still count, and those that left do not", func() {
		node := startedNode()
		node.addMembers(dataNode("a2", "east-a", "10.0.0.2"), dataNode("a3", "east-a", "10.0.0.3"))
		node.process(message(neighbour.MessageLeave, "a3-data", neighbour.Leave{Name: "a3-data", Boot: "boot"}))
		var last FleetChanged
		for range 100 {
			node.now += 100 * time.Millisecond
			for _, command := range node.process(contract.Tick{}) {
				if update, ok := command.(Update); ok {
					if change, isFleet := update.Event.(FleetChanged); isFleet {
						last = change
					}
				}
			}
		}
		Expect(last).To(Equal(FleetChanged{Self: "node000-data", Names: []string{"a2-data", "node000-data"}}))
	})
})

var _ = Describe("lists of an owner that restarted", func() {
	It("given an owner that restarted under the same epoch number, when its list has a lower number, then the list is accepted", func() {
		node := startedNode()
		node.process(contract.Tick{})
		former := leaseOf(2, 5, node.now, "a", "b")
		former.Epoch.Incarnation = "first"
		Expect(listedNames(node.process(message(shard.MessageLease, "owner-control", former)))).To(HaveLen(1))
		node.now += time.Second
		restarted := leaseOf(2, 1, node.now, "a")
		restarted.Epoch.Incarnation = "second"
		Expect(listedNames(node.process(message(shard.MessageLease, "owner-control", restarted)))).To(Equal([][]string{{"a"}}))
	})
})
