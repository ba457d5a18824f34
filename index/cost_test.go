package index

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// filled returns an index with the given numbers of places and servers.
func filled(places, servers int) *CacheIndex {
	cacheIndex := New(halfLife, cooldown)
	for anchor := range places {
		cacheIndex.Place(0, PlacementRequest{Key: key(uint64(anchor)), Candidates: candidates(anchor, servers), Work: 280})
	}
	return cacheIndex
}

func candidates(first, servers int) []string {
	names := make([]string, MaxCandidates)
	for place := range names {
		names[place] = fmt.Sprintf("server-%05d", (first*7919+place)%servers)
	}
	return names
}

// BenchmarkPlace measures one PlacementRequest as it arrives from a node.
func BenchmarkPlace(b *testing.B) {
	for name, offset := range map[string]int{"known": 0, "new": maxPlaces, "replica": 0} {
		b.Run(name, func(b *testing.B) {
			cacheIndex, requests := filled(maxPlaces, 5000), make([][]byte, 4096)
			for number := range requests {
				request := PlacementRequest{Key: key(uint64(offset + number)), Candidates: candidates(number, 5000), Work: 280}
				if name == "replica" {
					request = PlacementRequest{Key: request.Key, Known: true}
				}
				requests[number], _ = json.Marshal(request)
			}
			b.SetBytes(int64(len(requests[0])))
			b.ResetTimer()
			for number := range b.N {
				var request PlacementRequest
				if json.Unmarshal(requests[number%len(requests)], &request) != nil {
					b.Fatal("an ask cannot be decoded")
				}
				request.Anchor += uint64(number/len(requests)) * uint64(offset)
				cacheIndex.Place(time.Duration(number)*time.Microsecond, request)
			}
		})
	}
}

// BenchmarkUsed measures one Usage message.
func BenchmarkUsed(b *testing.B) {
	for _, uses := range []int{1, 16, MaxUses} {
		b.Run(fmt.Sprintf("uses=%d", uses), func(b *testing.B) {
			cacheIndex, usage := filled(maxPlaces, 5000), Usage{Address: "10.0.0.1:7720"}
			for anchor := range uses {
				place, _ := cacheIndex.Place(0, PlacementRequest{Key: key(uint64(anchor))})
				usage.Uses = append(usage.Uses, Use{Key: place.Key, Server: place.Server, Took: 60})
			}
			body, err := json.Marshal(usage)
			if err != nil {
				b.Fatal(err)
			}
			b.SetBytes(int64(len(body)))
			b.ResetTimer()
			for number := range b.N {
				cacheIndex.Handle(time.Duration(number)*time.Microsecond, contract.Message{Kind: MessageUsage, Body: body})
			}
		})
	}
}

// BenchmarkHeap measures the memory per place of a full index, with its names and the work of 5,000 servers.
func BenchmarkHeap(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		cacheIndex := filled(maxPlaces, 5000)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(cacheIndex.Len()), "B/place")
	}
}

// BenchmarkSnapshot measures the time that a snapshot takes in the event loop's goroutine; the bytes are those of its file.
func BenchmarkSnapshot(b *testing.B) {
	for _, places := range []int{100, MaxSaved, maxPlaces} {
		b.Run(fmt.Sprintf("places=%d", places), func(b *testing.B) {
			cacheIndex := filled(places, 5000)
			body, err := json.Marshal(cacheIndex.Snapshot())
			if err != nil {
				b.Fatal(err)
			}
			b.SetBytes(int64(len(body)))
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				cacheIndex.Snapshot()
			}
		})
	}
}
