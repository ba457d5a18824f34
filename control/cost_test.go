package control

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/feed"
	"github.com/cedarreel/cedarreel/image"
	"github.com/cedarreel/cedarreel/planned"
)

// routeCounts are the sizes of the configurations in the benchmarks, versionCounts the numbers of versions that are kept of them.
var (
	routeCounts   = []int{10, 1500, planned.Tenants}
	versionCounts = []int{1, 256}
)

// changesPerNode is the number of changes that a node receives before it is replaced by a new one.
const changesPerNode = 200

// plannedVersion returns a version with the given number of routes of the planned fleet.
func plannedVersion(tb testing.TB, routes int) contract.Version {
	tb.Helper()
	content, err := document.Parse(planned.Fleet{Routes: routes}.Configuration())
	if err != nil {
		tb.Fatal(err)
	}
	return contract.NewVersion(contract.Position{View: 1, Revision: 1}, "first/f", content)
}

// oneRouteUpdate returns a request that changes the timeout of one route.
func oneRouteUpdate(base int64) contract.OperatorRequest {
	body := fmt.Sprintf(`{"gateway":{"revision":%d,"upsert":{"routes":{"tenant-00007":{"host":"tenant-00007.example.com","prefix":"/v1/","kind":"streaming",`+
		`"timeoutMs":%d,"aimMs":1400,"gapMs":71,"rank":1,"attempts":2,"resumable":true,"affinity":true,"service":"model-0"}}},"remove":{}}}`, base+1, 60000+base)
	return contract.OperatorRequest{Verb: contract.VerbUpdate, HasBaseRevision: true, BaseRevision: base, Operation: fmt.Sprint("o", base), Body: []byte(body)}
}

// changedVersions returns count versions, each of which changes one route of its predecessor.
func changedVersions(tb testing.TB, first contract.Version, count int) []contract.Version {
	tb.Helper()
	versions := []contract.Version{first}
	for len(versions) < count {
		last := versions[len(versions)-1]
		change, err := requestedChange(oneRouteUpdate(last.Position.Revision), parsedVersion{Version: last})
		if err != nil {
			tb.Fatal(err)
		}
		versions = append(versions, last.Next(contract.Position{View: 1, Revision: last.Position.Revision + 1}, fmt.Sprintf("o%d/f", len(versions)), change))
	}
	return versions
}

// eachSize runs a benchmark for every size of configuration and number of kept versions.
func eachSize(b *testing.B, run func(b *testing.B, versions []contract.Version)) {
	for _, routes := range routeCounts {
		for _, kept := range versionCounts {
			b.Run(fmt.Sprintf("routes=%d/versions=%d", routes, kept), func(b *testing.B) {
				versions := changedVersions(b, plannedVersion(b, routes), kept)
				b.ReportAllocs()
				b.ResetTimer()
				run(b, versions)
			})
		}
	}
}

// BenchmarkHead measures the change of one route at the head, from the request to the message for the next member.
func BenchmarkHead(b *testing.B) {
	eachSize(b, func(b *testing.B, versions []contract.Version) {
		last := versions[len(versions)-1]
		parsed, bytes := parseVersion(last), 0
		order := oneRouteUpdate(parsed.manifest.Gateway.Revision)
		b.ResetTimer()
		for range b.N {
			if err := staleBase(order, parsed); err != "" {
				b.Fatal(err)
			}
			change, _, _, err := buildChange(order, parsed)
			if err != nil {
				b.Fatal(err)
			}
			next := last.Next(contract.Position{View: 1, Revision: last.Position.Revision + 1}, "next/f", change)
			content, err := json.Marshal(chain.Replicate{View: 1, Previous: last.Position, Records: contract.EncodeRecords(last, []contract.Version{next}, contract.MaxRecordBytes)})
			if err != nil {
				b.Fatal(err)
			}
			bytes = len(content)
		}
		b.ReportMetric(float64(bytes), "wire-bytes")
	})
}

// countingDisk stores nothing and records the size of the last file.
type countingDisk struct{ written int }

func (disk *countingDisk) WriteTemp(_ string, content []byte) error {
	disk.written = len(content)
	return nil
}
func (*countingDisk) Rename(string, string) error { return nil }
func (*countingDisk) SyncFolder() error           { return nil }
func (*countingDisk) Read(string) ([]byte, error) { return nil, nil }
func (*countingDisk) List() ([]string, error)     { return nil, nil }
func (*countingDisk) Remove(string) error         { return nil }

// BenchmarkMember measures the change of one route at a member of the chain: decoding the message and writing the data folder.
func BenchmarkMember(b *testing.B) {
	eachSize(b, func(b *testing.B, versions []contract.Version) {
		disk := &countingDisk{}
		last := versions[len(versions)-1]
		next := nextVersion(b, last)
		content, err := json.Marshal(contract.EncodeRecords(last, []contract.Version{next}, contract.MaxRecordBytes))
		if err != nil {
			b.Fatal(err)
		}
		lookup := func(position contract.Position) (contract.Version, bool) { return last, position == last.Position }
		b.ResetTimer()
		for range b.N {
			records := []contract.Record{}
			if err := json.Unmarshal(content, &records); err != nil {
				b.Fatal(err)
			}
			decoded, err := contract.DecodeRecords(records, lookup)
			if err != nil {
				b.Fatal(err)
			}
			if err := image.Save(disk, chain.Persist{Writes: []chain.Write{{Version: decoded[0], Base: last}}}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(disk.written), "disk-bytes")
	})
}

func nextVersion(tb testing.TB, last contract.Version) contract.Version {
	tb.Helper()
	change, err := requestedChange(oneRouteUpdate(last.Position.Revision), parsedVersion{Version: last})
	if err != nil {
		tb.Fatal(err)
	}
	return last.Next(contract.Position{View: 1, Revision: last.Position.Revision + 1}, "next/f", change)
}

// BenchmarkNode measures the change of one route at a node that follows the feed, until it is in force there.
func BenchmarkNode(b *testing.B) {
	eachSize(b, func(b *testing.B, versions []contract.Version) {
		bounds := env.DefaultBounds()
		last := versions[len(versions)-1]
		later := changedVersions(b, last, changesPerNode+1)[1:]
		deliveries, bytes := [][]byte{}, 0
		for index, version := range later {
			previous := last
			if index > 0 {
				previous = later[index-1]
			}
			body, err := json.Marshal(feed.Delivery{Records: contract.EncodeRecords(previous, []contract.Version{version}, contract.MaxRecordBytes)})
			if err != nil {
				b.Fatal(err)
			}
			deliveries, bytes = append(deliveries, body), len(body)
		}
		node := (*feed.Replicator)(nil)
		b.ResetTimer()
		for number := range b.N {
			index := number % changesPerNode
			if index == 0 {
				b.StopTimer()
				node = feed.New("node", bounds)
				node.Apply(feed.Update{Versions: versions}, nil)
				b.StartTimer()
			}
			node.Handle(time.Second, contract.Message{Kind: feed.MessageDelivery, Body: deliveries[index]}, nil)
			if node.Version().Position != later[index].Position {
				b.Fatal("not in force")
			}
		}
		b.ReportMetric(float64(bytes), "wire-bytes")
	})
}

// BenchmarkStart measures a node without any version, until the whole configuration is in force there.
func BenchmarkStart(b *testing.B) {
	for _, routes := range routeCounts {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			bounds, keeper := env.DefaultBounds(), feed.New("keeper", env.DefaultBounds())
			keeper.Apply(feed.Update{Versions: []contract.Version{plannedVersion(b, routes)}}, nil)
			request, _ := json.Marshal(feed.VersionNotice{From: "node"})
			bytes := 0
			b.ResetTimer()
			for range b.N {
				node := feed.New("node", bounds)
				commands := keeper.Handle(time.Second, contract.Message{Kind: feed.MessageRequest, Body: request}, nil)
				response, err := json.Marshal(commands[0].(contract.Send).Body)
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(response)
				node.Handle(time.Second, contract.Message{Kind: feed.MessageDelivery, Body: response}, nil)
				if !node.HasVersion() {
					b.Fatal("not in force")
				}
			}
			b.ReportMetric(float64(bytes), "wire-bytes")
		})
	}
}

// retainedHeap returns the heap size of the value that a function returns, in bytes.
func retainedHeap(make func() any) int64 {
	before, after := runtime.MemStats{}, runtime.MemStats{}
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// BenchmarkMemory measures the heap that a configuration and its versions take at a node.
func BenchmarkMemory(b *testing.B) {
	for _, routes := range routeCounts {
		for _, kept := range versionCounts {
			b.Run(fmt.Sprintf("routes=%d/versions=%d", routes, kept), func(b *testing.B) {
				bytes := int64(0)
				for range b.N {
					bytes = retainedHeap(func() any {
						controller := feed.New("node", env.DefaultBounds())
						controller.Apply(feed.Update{Versions: changedVersions(b, plannedVersion(b, routes), kept)}, nil)
						return controller
					})
				}
				b.ReportMetric(float64(bytes)/1e6, "MB")
			})
		}
	}
}
