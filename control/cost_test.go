package control

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cedarreel/cedarreel/contract"
)

// BenchmarkUpdate is one change of the gateway's configuration, up to what is handed to the chain.
func BenchmarkUpdate(b *testing.B) {
	for _, count := range []int{16, 1000, 10000} {
		b.Run(fmt.Sprintf("routes=%d", count), func(b *testing.B) {
			routes := []string{}
			for index := range count {
				routes = append(routes, fmt.Sprintf(`"r%d":{"host":"h%d","prefix":"/","timeoutMs":1000,"service":"s"}`, index, index))
			}
			latest := contract.Version{Place: contract.Place{View: 1, Revision: 1}, Manifest: section(5, strings.Join(routes, ","))}
			ask := contract.Ask{Verb: contract.VerbUpdate, HasBase: true, Base: 5, Body: []byte(`{"gateway":{"revision":6,"upsert":{},"remove":{}}}`)}
			b.ResetTimer()
			for range b.N {
				read := readNewest(latest)
				if failure := overtaken(ask, read); failure != "" {
					b.Fatal(failure)
				}
				if _, _, failure := compose(ask, read); failure != nil {
					b.Fatal(failure)
				}
			}
		})
	}
}
