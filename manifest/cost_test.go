package manifest_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/planned"
)

// BenchmarkRead parses a whole configuration.
func BenchmarkRead(b *testing.B) {
	for _, routes := range []int{16, 128, 1000, 4000, planned.Tenants} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			content := planned.Fleet{Routes: routes}.Configuration()
			b.SetBytes(int64(len(content)))
			b.ReportAllocs()
			for range b.N {
				if _, err := manifest.Parse(content); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkTenants measures the lookup of a call's key and, as the metric MB, the heap that the indexes of the tenants take.
func BenchmarkTenants(b *testing.B) {
	for _, count := range []int{10, planned.Tenants} {
		b.Run(fmt.Sprintf("tenants=%d", count), func(b *testing.B) {
			before := liveHeapBytes()
			tenants := manifest.Tenants{}
			for number := range count {
				keys := []manifest.KeyDigest{manifest.DigestKey(fmt.Sprint("a", number)), manifest.DigestKey(fmt.Sprint("b", number))}
				tenants = tenants.With(manifest.Tenant{Name: fmt.Sprint("tenant-", number), Keys: keys})
			}
			heapBytes := liveHeapBytes() - before
			b.ResetTimer()
			for number := range b.N {
				if _, held := tenants.ByKey(manifest.DigestKey(fmt.Sprint("b", number%count))); !held {
					b.Fatal("a key is not found")
				}
			}
			b.ReportMetric(float64(heapBytes)/1e6, "MB")
		})
	}
}

// liveHeapBytes returns the bytes of live objects.
func liveHeapBytes() uint64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}
