package index

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// filled has so many prompts on so many servers.
func filled(places, servers int) *Owner {
	owner := New(halfLife, rest)
	for anchor := range places {
		owner.Place(0, Ask{Key: key(uint64(anchor)), Candidates: candidates(anchor, servers), Work: 280})
	}
	return owner
}

func candidates(first, servers int) []string {
	names := make([]string, MostCandidates)
	for place := range names {
		names[place] = fmt.Sprintf("server-%05d", (first*7919+place)%servers)
	}
	return names
}

// BenchmarkPlace is one question for a prompt's place, as it comes from a node.
func BenchmarkPlace(b *testing.B) {
	for name, offset := range map[string]int{"known": 0, "new": mostPlaces, "replica": 0} {
		b.Run(name, func(b *testing.B) {
			owner, asks := filled(mostPlaces, 5000), make([][]byte, 4096)
			for number := range asks {
				ask := Ask{Key: key(uint64(offset + number)), Candidates: candidates(number, 5000), Work: 280}
				if name == "replica" {
					ask = Ask{Key: ask.Key, Known: true}
				}
				asks[number], _ = json.Marshal(ask)
			}
			b.SetBytes(int64(len(asks[0])))
			b.ResetTimer()
			for number := range b.N {
				var ask Ask
				if json.Unmarshal(asks[number%len(asks)], &ask) != nil {
					b.Fatal("an ask cannot be read")
				}
				ask.Anchor += uint64(number/len(asks)) * uint64(offset)
				owner.Place(time.Duration(number)*time.Microsecond, ask)
			}
		})
	}
}

// BenchmarkUsed is one message with the uses of a node.
func BenchmarkUsed(b *testing.B) {
	for _, uses := range []int{1, 16, MostUses} {
		b.Run(fmt.Sprintf("uses=%d", uses), func(b *testing.B) {
			owner, used := filled(mostPlaces, 5000), Used{Address: "10.0.0.1:7720"}
			for anchor := range uses {
				place, _ := owner.Place(0, Ask{Key: key(uint64(anchor))})
				used.Uses = append(used.Uses, Use{Key: place.Key, Server: place.Server, Took: 60})
			}
			body, failure := json.Marshal(used)
			if failure != nil {
				b.Fatal(failure)
			}
			b.SetBytes(int64(len(body)))
			b.ResetTimer()
			for number := range b.N {
				owner.Handle(time.Duration(number)*time.Microsecond, contract.Message{Kind: MessageUsed, Body: body})
			}
		})
	}
}

// BenchmarkHeap is what a full owner keeps for a place, its names and the work of 5,000 servers with it.
func BenchmarkHeap(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		owner := filled(mostPlaces, 5000)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(owner.Len()), "B/place")
	}
}

// BenchmarkSnapshot is what the owner's own thread does for a snapshot; the bytes are those of its file.
func BenchmarkSnapshot(b *testing.B) {
	for _, places := range []int{100, MostSaved, mostPlaces} {
		b.Run(fmt.Sprintf("places=%d", places), func(b *testing.B) {
			owner := filled(places, 5000)
			body, failure := json.Marshal(owner.Snapshot())
			if failure != nil {
				b.Fatal(failure)
			}
			b.SetBytes(int64(len(body)))
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				owner.Snapshot()
			}
		})
	}
}
