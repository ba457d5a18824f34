package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/planned"
)

func rows(servers, services int) []contract.Candidate {
	rows := make([]contract.Candidate, servers)
	for index := range rows {
		name := fmt.Sprintf("server-%05d", index)
		rows[index] = contract.Candidate{Name: name, Incarnation: name, Address: "10.0.0.1:8000", Zone: "zone-000", Pool: fmt.Sprintf("model-%d", index%services)}
	}
	return rows
}

func read(b *testing.B, routes int, warmup bool) manifest.Manifest {
	read, failure := manifest.Parse(planned.Fleet{Routes: routes, Warmup: warmup}.Configuration())
	if failure != nil {
		b.Fatal(failure)
	}
	return read
}

func traffic(b *testing.B, servers, services int, warmup bool) *gateway.Traffic {
	settings := env.New(env.WithName("node"), env.WithRegion("region-00"), env.WithZone("zone-000"))
	settings.Gateway = env.Gateway{RepeatRatio: 0.2, RepeatWindow: 10 * time.Second, Contact: 4 * time.Second}
	traffic := gateway.NewTraffic(settings, rand.New(rand.NewPCG(1, 2)))
	traffic.Handle(0, gateway.Configured{Manifest: read(b, 64, warmup)})
	traffic.Handle(0, gateway.Listed{Region: "region-00", Servers: rows(servers, services)})
	return traffic
}

// asked is a prompt of so many parts that others share, the last one aside.
func asked(parts, index int, tokens int64) engine.Prompt {
	prompt := engine.Prompt{Model: "model-0", Input: 4 * tokens, Output: 300}
	for part := range parts {
		prompt.Parts = append(prompt.Parts, engine.Part{ID: fmt.Sprintf("part-%d-%d", part, index%(64<<part)), Tokens: tokens})
	}
	return prompt
}

// ended is one call from its arrival to its end.
func ended(traffic *gateway.Traffic, index int, prompt engine.Prompt) {
	token, now := int64(index)+1, 10*time.Second+time.Duration(index)*time.Millisecond
	sent := traffic.Handle(now, gateway.Arrive{Token: token, Host: "tenant-00032.example.com", Path: "/v1/chat", Prompt: prompt, Size: prompt.Input})[0].(gateway.Dispatch)
	traffic.Handle(now, gateway.Ended{Token: token, Attempt: sent.Attempt, Outcome: gateway.Whole})
}

// BenchmarkRequest is one call from its arrival to its end, with so many servers of its model.
func BenchmarkRequest(b *testing.B) {
	for _, parts := range []int{1, 4} {
		for _, servers := range []int{16, 64, 256, 1250} {
			b.Run(fmt.Sprintf("parts=%d/servers=%d", parts, servers), func(b *testing.B) {
				traffic := traffic(b, servers, 1, false)
				b.ResetTimer()
				for index := range b.N {
					ended(traffic, index, asked(parts, index, 1000))
				}
			})
		}
	}
}

// BenchmarkMixed is nine calls with short prompts and one with a long one, with so many servers of their model in two regions.
func BenchmarkMixed(b *testing.B) {
	for _, servers := range []int{16, 64, 256, 1250} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			traffic, all := traffic(b, servers/2, 1, false), rows(servers, 1)
			traffic.Handle(0, gateway.Listed{Region: "region-01", Servers: all[servers/2:]})
			b.ResetTimer()
			for index := range b.N {
				tokens := int64(80)
				if index%10 == 0 {
					tokens = 4000
				}
				ended(traffic, index, asked(3, index, tokens))
			}
		})
	}
}

func BenchmarkFind(b *testing.B) {
	for _, routes := range []int{16, 1000, planned.Tenants} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			table := read(b, routes, false).Gateway.Routes
			b.ResetTimer()
			for index := range b.N {
				if _, there := table.Find(fmt.Sprintf("tenant-%05d.example.com", index%routes), "/v1/chat/long"); !there {
					b.Fatal("no route")
				}
			}
		})
	}
}

// BenchmarkFleet is one change of the set of data nodes, with services that bound what a cold server takes.
func BenchmarkFleet(b *testing.B) {
	for _, servers := range []int{100, 400} {
		for _, nodes := range []int{48, 350, planned.Nodes} {
			b.Run(fmt.Sprintf("servers=%d/nodes=%d", servers, nodes), func(b *testing.B) {
				traffic, names := traffic(b, servers, planned.Models, true), []string{}
				for index := range nodes {
					names = append(names, fmt.Sprintf("node-%05d-data", index))
				}
				b.ResetTimer()
				for range b.N {
					traffic.Handle(0, gateway.Fleet{Self: names[0], Names: names})
				}
			})
		}
	}
}

// BenchmarkCalls is what a node tells of its calls in one question for the list of one region.
func BenchmarkCalls(b *testing.B) {
	for _, servers := range []int{100, 1000, planned.Servers} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			traffic := traffic(b, servers, planned.Models, false)
			b.ResetTimer()
			for range b.N {
				traffic.Calls("region-01")
			}
		})
	}
}

// BenchmarkConfigured is what the owner of the calls does for one change of the configuration.
func BenchmarkConfigured(b *testing.B) {
	for _, routes := range []int{16, 1000, planned.Tenants} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			traffic, event := traffic(b, planned.Servers, planned.Models, false), gateway.Configured{Manifest: read(b, routes, false)}
			b.ResetTimer()
			for range b.N {
				traffic.Handle(0, event)
			}
		})
	}
}
