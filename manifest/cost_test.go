package manifest_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/planned"
)

// BenchmarkRead reads a whole configuration, as every node does for every change.
func BenchmarkRead(b *testing.B) {
	for _, routes := range []int{16, 128, 1000, 4000, planned.Tenants} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			content := planned.Fleet{Routes: routes}.Configuration()
			b.SetBytes(int64(len(content)))
			b.ReportAllocs()
			for range b.N {
				if _, failure := manifest.Read(content); failure != nil {
					b.Fatal(failure)
				}
			}
		})
	}
}

// BenchmarkTenants measures what tenants cost a node: the look-up of a call's key, and the heap of their tables, without the configuration's text.
func BenchmarkTenants(b *testing.B) {
	for _, count := range []int{10, planned.Tenants} {
		b.Run(fmt.Sprintf("tenants=%d", count), func(b *testing.B) {
			before := heap()
			tenants := manifest.Tenants{}
			for number := range count {
				keys := []manifest.KeyDigest{manifest.DigestKey(fmt.Sprint("a", number)), manifest.DigestKey(fmt.Sprint("b", number))}
				tenants = tenants.With(manifest.Tenant{Name: fmt.Sprint("tenant-", number), Keys: keys})
			}
			taken := heap() - before
			b.ResetTimer()
			for number := range b.N {
				if _, held := tenants.Holder(manifest.DigestKey(fmt.Sprint("b", number%count))); !held {
					b.Fatal("a key is not found")
				}
			}
			b.ReportMetric(float64(taken)/1e6, "MB")
		})
	}
}

// heap gives the bytes that are in use.
func heap() uint64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}
