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

// sizes are the configurations that costs are measured for, in routes; keptVersions the versions that are kept of them.
var (
	sizes        = []int{10, 1500, planned.Tenants}
	keptVersions = []int{1, 256}
)

// followed is how many changes a node follows before it begins anew.
const followed = 200

// plannedVersion gives a version with so many routes of the planned fleet.
func plannedVersion(tb testing.TB, routes int) contract.Version {
	tb.Helper()
	content, failure := document.Parse(planned.Fleet{Routes: routes}.Configuration())
	if failure != nil {
		tb.Fatal(failure)
	}
	return contract.NewVersion(contract.Position{View: 1, Revision: 1}, "first/f", content)
}

// oneRouteChanged orders another time-out for one route.
func oneRouteChanged(base int64) contract.OperatorRequest {
	body := fmt.Sprintf(`{"gateway":{"revision":%d,"upsert":{"routes":{"tenant-00007":{"host":"tenant-00007.example.com","prefix":"/v1/","kind":"streaming",`+
		`"timeoutMs":%d,"aimMs":1400,"gapMs":71,"rank":1,"attempts":2,"resumable":true,"affinity":true,"service":"model-0"}}},"remove":{}}}`, base+1, 60000+base)
	return contract.OperatorRequest{Verb: contract.VerbUpdate, HasBaseRevision: true, BaseRevision: base, Operation: fmt.Sprint("o", base), Body: []byte(body)}
}

// changed gives the versions that so many changes of one route make of a first one.
func changed(tb testing.TB, first contract.Version, count int) []contract.Version {
	tb.Helper()
	versions := []contract.Version{first}
	for len(versions) < count {
		last := versions[len(versions)-1]
		change, failure := changeOf(oneRouteChanged(last.Position.Revision), newest{Version: last})
		if failure != nil {
			tb.Fatal(failure)
		}
		versions = append(versions, last.Next(contract.Position{View: 1, Revision: last.Position.Revision + 1}, fmt.Sprintf("o%d/f", len(versions)), change))
	}
	return versions
}

// eachSize runs a benchmark for every size of configuration and number of kept versions.
func eachSize(b *testing.B, run func(b *testing.B, versions []contract.Version)) {
	for _, routes := range sizes {
		for _, kept := range keptVersions {
			b.Run(fmt.Sprintf("routes=%d/versions=%d", routes, kept), func(b *testing.B) {
				versions := changed(b, plannedVersion(b, routes), kept)
				b.ReportAllocs()
				b.ResetTimer()
				run(b, versions)
			})
		}
	}
}

// BenchmarkHead is one changed route at the head, from the order to what is passed on.
func BenchmarkHead(b *testing.B) {
	eachSize(b, func(b *testing.B, versions []contract.Version) {
		last := versions[len(versions)-1]
		read, bytes := readNewest(last), 0
		order := oneRouteChanged(read.read.Gateway.Revision)
		b.ResetTimer()
		for range b.N {
			if failure := overtaken(order, read); failure != "" {
				b.Fatal(failure)
			}
			change, _, _, failure := compose(order, read)
			if failure != nil {
				b.Fatal(failure)
			}
			next := last.Next(contract.Position{View: 1, Revision: last.Position.Revision + 1}, "next/f", change)
			content, failure := json.Marshal(chain.Replicate{View: 1, Previous: last.Position, Records: contract.EncodeRecords(last, []contract.Version{next}, contract.MaxRecordBytes)})
			if failure != nil {
				b.Fatal(failure)
			}
			bytes = len(content)
		}
		b.ReportMetric(float64(bytes), "wire-bytes")
	})
}

// countingDisk keeps nothing and tells how large the last file was.
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

// BenchmarkMember is one changed route at a member of the chain: read from a pass, and written to its folder.
func BenchmarkMember(b *testing.B) {
	eachSize(b, func(b *testing.B, versions []contract.Version) {
		disk := &countingDisk{}
		last := versions[len(versions)-1]
		next := nextOf(b, last)
		content, failure := json.Marshal(contract.EncodeRecords(last, []contract.Version{next}, contract.MaxRecordBytes))
		if failure != nil {
			b.Fatal(failure)
		}
		held := func(place contract.Position) (contract.Version, bool) { return last, place == last.Position }
		b.ResetTimer()
		for range b.N {
			records := []contract.Record{}
			if failure := json.Unmarshal(content, &records); failure != nil {
				b.Fatal(failure)
			}
			opened, failure := contract.DecodeRecords(records, held)
			if failure != nil {
				b.Fatal(failure)
			}
			if failure := image.Save(disk, chain.Persist{Writes: []chain.Write{{Version: opened[0], Base: last}}}); failure != nil {
				b.Fatal(failure)
			}
		}
		b.ReportMetric(float64(disk.written), "disk-bytes")
	})
}

func nextOf(tb testing.TB, last contract.Version) contract.Version {
	tb.Helper()
	change, failure := changeOf(oneRouteChanged(last.Position.Revision), newest{Version: last})
	if failure != nil {
		tb.Fatal(failure)
	}
	return last.Next(contract.Position{View: 1, Revision: last.Position.Revision + 1}, "next/f", change)
}

// BenchmarkNode is one changed route at a node that follows the feed, until it is in force there.
func BenchmarkNode(b *testing.B) {
	eachSize(b, func(b *testing.B, versions []contract.Version) {
		bounds := env.DefaultBounds()
		last := versions[len(versions)-1]
		later := changed(b, last, followed+1)[1:]
		deliveries, bytes := [][]byte{}, 0
		for place, version := range later {
			former := last
			if place > 0 {
				former = later[place-1]
			}
			body, failure := json.Marshal(feed.Delivery{Records: contract.EncodeRecords(former, []contract.Version{version}, contract.MaxRecordBytes)})
			if failure != nil {
				b.Fatal(failure)
			}
			deliveries, bytes = append(deliveries, body), len(body)
		}
		node := (*feed.Owner)(nil)
		b.ResetTimer()
		for number := range b.N {
			place := number % followed
			if place == 0 {
				b.StopTimer()
				node = feed.New("node", bounds)
				node.Apply(feed.Change{Versions: versions}, nil)
				b.StartTimer()
			}
			node.Handle(time.Second, contract.Message{Kind: feed.MessageDelivery, Body: deliveries[place]}, nil)
			if node.Version().Position != later[place].Position {
				b.Fatal("not in force")
			}
		}
		b.ReportMetric(float64(bytes), "wire-bytes")
	})
}

// BenchmarkStart is a node that knows nothing, until it has the whole configuration in force.
func BenchmarkStart(b *testing.B) {
	for _, routes := range sizes {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			bounds, keeper := env.DefaultBounds(), feed.New("keeper", env.DefaultBounds())
			keeper.Apply(feed.Change{Versions: []contract.Version{plannedVersion(b, routes)}}, nil)
			asked, _ := json.Marshal(feed.VersionNotice{From: "node"})
			bytes := 0
			b.ResetTimer()
			for range b.N {
				node := feed.New("node", bounds)
				told := keeper.Handle(time.Second, contract.Message{Kind: feed.MessageRequest, Body: asked}, nil)
				answer, failure := json.Marshal(told[0].(contract.Send).Body)
				if failure != nil {
					b.Fatal(failure)
				}
				bytes = len(answer)
				node.Handle(time.Second, contract.Message{Kind: feed.MessageDelivery, Body: answer}, nil)
				if !node.Known() {
					b.Fatal("not in force")
				}
			}
			b.ReportMetric(float64(bytes), "wire-bytes")
		})
	}
}

// heapOf gives the bytes that what a function makes keeps alive.
func heapOf(make func() any) int64 {
	before, after := runtime.MemStats{}, runtime.MemStats{}
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// BenchmarkMemory tells what a configuration and its versions keep of the heap, at a node and at a member.
func BenchmarkMemory(b *testing.B) {
	for _, routes := range sizes {
		for _, kept := range keptVersions {
			b.Run(fmt.Sprintf("routes=%d/versions=%d", routes, kept), func(b *testing.B) {
				bytes := int64(0)
				for range b.N {
					bytes = heapOf(func() any {
						owner := feed.New("node", env.DefaultBounds())
						owner.Apply(feed.Change{Versions: changed(b, plannedVersion(b, routes), kept)}, nil)
						return owner
					})
				}
				b.ReportMetric(float64(bytes)/1e6, "MB")
			})
		}
	}
}
