package link

import (
	"fmt"

	"github.com/cedarreel/cedarreel/manifest"
)

func (loop *Loop) metricLines() []string {
	lines, counts := []string{}, loop.Counts()
	for _, name := range manifest.SortedKeys(counts) {
		lines = append(lines, fmt.Sprintf("cedarreel_%s_total %d\n", name, counts[name]))
	}
	loop.lock.Lock()
	defer loop.lock.Unlock()
	for _, name := range manifest.SortedKeys(loop.gauges) {
		lines = append(lines, fmt.Sprintf("cedarreel_%s %d\n", name, loop.gauges[name]))
	}
	return lines
}

func (loop *Loop) gauge(name string, value int64) {
	loop.lock.Lock()
	defer loop.lock.Unlock()
	loop.gauges[name] = value
}
