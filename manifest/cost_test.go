package manifest_test

import (
	"fmt"
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
