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

func candidates(servers, services int) []contract.Candidate {
	rows := make([]contract.Candidate, servers)
	for index := range rows {
		name := fmt.Sprintf("server-%05d", index)
		rows[index] = contract.Candidate{Name: name, Incarnation: name, Address: "10.0.0.1:8000", Zone: "zone-000", Pool: fmt.Sprintf("model-%d", index%services)}
	}
	return rows
}

func readManifest(b *testing.B, routes int, warmup bool) manifest.Manifest {
	read, err := manifest.Parse(planned.Fleet{Routes: routes, Warmup: warmup}.Configuration())
	if err != nil {
		b.Fatal(err)
	}
	return read
}

func newRouter(b *testing.B, servers, services int, warmup bool) *gateway.Router {
	settings := env.New(env.WithName("node"), env.WithRegion("region-00"), env.WithZone("zone-000"))
	settings.Gateway = env.Gateway{RepeatRatio: 0.2, RepeatWindow: 10 * time.Second, Contact: 4 * time.Second}
	router := gateway.NewRouter(settings, rand.New(rand.NewPCG(1, 2)))
	router.Handle(0, gateway.ConfigurationChanged{Manifest: readManifest(b, 64, warmup)})
	router.Handle(0, gateway.ServersListed{Region: "region-00", Servers: candidates(servers, services)})
	return router
}

// sharedPrompt returns a prompt with a number of parts, all but the last of which other prompts share.
func sharedPrompt(parts, index int, tokens int64) engine.Prompt {
	prompt := engine.Prompt{Model: "model-0", Input: 4 * tokens, Output: 300}
	for part := range parts {
		prompt.Parts = append(prompt.Parts, engine.Part{ID: fmt.Sprintf("part-%d-%d", part, index%(64<<part)), Tokens: tokens})
	}
	return prompt
}

// runCall handles one call from its arrival to its end.
func runCall(router *gateway.Router, index int, prompt engine.Prompt) {
	token, now := int64(index)+1, 10*time.Second+time.Duration(index)*time.Millisecond
	sent := router.Handle(now, gateway.CallArrived{Token: token, Host: "tenant-00032.example.com", Path: "/v1/chat", Prompt: prompt, Size: prompt.Input})[0].(gateway.Dispatch)
	router.Handle(now, gateway.DispatchEnded{Token: token, Attempt: sent.Attempt, Outcome: gateway.OutcomeComplete})
}

// BenchmarkRequest measures one call from its arrival to its end, by the number of servers of its model.
func BenchmarkRequest(b *testing.B) {
	for _, parts := range []int{1, 4} {
		for _, servers := range []int{16, 64, 256, 1250} {
			b.Run(fmt.Sprintf("parts=%d/servers=%d", parts, servers), func(b *testing.B) {
				router := newRouter(b, servers, 1, false)
				b.ResetTimer()
				for index := range b.N {
					runCall(router, index, sharedPrompt(parts, index, 1000))
				}
			})
		}
	}
}

// BenchmarkMixed measures nine calls with short prompts and one with a long one, by the number of servers in two regions.
func BenchmarkMixed(b *testing.B) {
	for _, servers := range []int{16, 64, 256, 1250} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			router, all := newRouter(b, servers/2, 1, false), candidates(servers, 1)
			router.Handle(0, gateway.ServersListed{Region: "region-01", Servers: all[servers/2:]})
			b.ResetTimer()
			for index := range b.N {
				tokens := int64(80)
				if index%10 == 0 {
					tokens = 4000
				}
				runCall(router, index, sharedPrompt(3, index, tokens))
			}
		})
	}
}

// BenchmarkFind measures finding the route of a call.
func BenchmarkFind(b *testing.B) {
	for _, routes := range []int{16, 1000, planned.Tenants} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			table := readManifest(b, routes, false).Gateway.Routes
			b.ResetTimer()
			for index := range b.N {
				if _, found := table.Find(fmt.Sprintf("tenant-%05d.example.com", index%routes), "/v1/chat/long"); !found {
					b.Fatal("no route")
				}
			}
		})
	}
}

// BenchmarkFleet measures one change of the set of data nodes, with services that limit what a cold server takes.
func BenchmarkFleet(b *testing.B) {
	for _, servers := range []int{100, 400} {
		for _, nodes := range []int{48, 350, planned.Nodes} {
			b.Run(fmt.Sprintf("servers=%d/nodes=%d", servers, nodes), func(b *testing.B) {
				router, names := newRouter(b, servers, planned.Models, true), []string{}
				for index := range nodes {
					names = append(names, fmt.Sprintf("node-%05d-data", index))
				}
				b.ResetTimer()
				for range b.N {
					router.Handle(0, gateway.FleetChanged{Self: names[0], Names: names})
				}
			})
		}
	}
}

// BenchmarkCalls measures the report of calls in flight for one request for a region's list.
func BenchmarkCalls(b *testing.B) {
	for _, servers := range []int{100, 1000, planned.Servers} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			router := newRouter(b, servers, planned.Models, false)
			b.ResetTimer()
			for range b.N {
				router.CallsInFlight("region-01")
			}
		})
	}
}

// BenchmarkConfigured measures what the router does for one change of the configuration.
func BenchmarkConfigured(b *testing.B) {
	for _, routes := range []int{16, 1000, planned.Tenants} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			router, event := newRouter(b, planned.Servers, planned.Models, false), gateway.ConfigurationChanged{Manifest: readManifest(b, routes, false)}
			b.ResetTimer()
			for range b.N {
				router.Handle(0, event)
			}
		})
	}
}
