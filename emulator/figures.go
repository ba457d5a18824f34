package emulator

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/manifest"
)

// Figure is how one call ended. First is the time until its first piece; Paused marks a gap between pieces above the class's bound.
type Figure struct {
	Class   string
	Outcome string
	First   time.Duration
	Ended   time.Duration
	Paused  bool
	latency latencyBreakdown
}

// ClassFigures sums the calls of a class: those served within their latency target, late, refused and failed, and the median and
// 99th percentile of the time until the first piece.
type ClassFigures struct {
	Asked, Aim, Late, Refused, Failed int
	Median, Slowest                   time.Duration
}

// Figures summarise a day.
type Figures struct {
	Classes                                                  map[string]ClassFigures
	ReadTokens, RereadTokens, CrossRegionBytes               int64
	ConnectionsOpened, Preemptions, ListRequests, Executions int64
	Caches                                                   CacheFigures
	MissReasons                                              MissReasons
}

func (day *Day) summary() Figures {
	sum := Figures{Classes: map[string]ClassFigures{}, ReadTokens: day.readTokens, RereadTokens: day.rereadTokens, CrossRegionBytes: day.world.crossRegionBytes, ConnectionsOpened: day.connectionsOpened, Preemptions: day.preemptions,
		ListRequests: day.list.Asked + day.list.Declined, Executions: day.executions, Caches: day.cacheFigures(), MissReasons: day.missReasons()}
	firsts := map[string][]time.Duration{}
	for _, one := range day.figures {
		class := sum.Classes[one.Class]
		class.Asked++
		switch one.Outcome {
		case "served":
			class.Aim++
		case "late":
			class.Late++
		case "refused":
			class.Refused++
		default:
			class.Failed++
		}
		sum.Classes[one.Class] = class
		if one.First > 0 {
			firsts[one.Class] = append(firsts[one.Class], one.First)
		}
	}
	for name, spans := range firsts {
		slices.Sort(spans)
		class := sum.Classes[name]
		class.Median, class.Slowest = spans[len(spans)/2], spans[len(spans)*99/100]
		sum.Classes[name] = class
	}
	return sum
}

// Values gives every figure by name; shares in percent, times in milliseconds.
func (figures Figures) Values() map[string]float64 {
	values := map[string]float64{"prompt tokens read": float64(figures.ReadTokens), "shared tokens read again": float64(figures.RereadTokens), "bytes between regions": float64(figures.CrossRegionBytes),
		"connections opened": float64(figures.ConnectionsOpened), "put back": float64(figures.Preemptions), "lists asked": float64(figures.ListRequests)}
	for name, class := range figures.Classes {
		share := func(count int) float64 { return 100 * float64(count) / float64(max(1, class.Asked)) }
		values[name+" in aim %"], values[name+" late %"] = share(class.Aim), share(class.Late)
		values[name+" refused %"], values[name+" failed %"] = share(class.Refused), share(class.Failed)
		values[name+" p50 ms"], values[name+" p99 ms"] = class.Median.Seconds()*1000, class.Slowest.Seconds()*1000
	}
	for name, value := range figures.MissReasons.values() {
		values[name] = value
	}
	for name, value := range figures.Caches.values() {
		values[name] = value
	}
	return values
}

// Text gives the figures as lines for the terminal.
func (figures Figures) Text() string {
	text := strings.Builder{}
	for _, name := range manifest.SortedKeys(figures.Classes) {
		class := figures.Classes[name]
		fmt.Fprintf(&text, "%s: asked %d, in aim %d, late %d, refused %d, failed %d, first piece p50 %v p99 %v\n", name, class.Asked, class.Aim, class.Late, class.Refused,
			class.Failed, class.Median.Round(time.Millisecond), class.Slowest.Round(time.Millisecond))
	}
	fmt.Fprintf(&text, "tokens read %d, shared read again %d, bytes between regions %d, connections opened %d, put back %d, lists asked %d\n", figures.ReadTokens, figures.RereadTokens,
		figures.CrossRegionBytes, figures.ConnectionsOpened, figures.Preemptions, figures.ListRequests)
	text.WriteString(figures.MissReasons.text())
	text.WriteString(figures.Caches.text())
	return text.String()
}

// Spreads gives the median, minimum and maximum of each figure over several days.
func Spreads(days []Figures) map[string][3]float64 {
	all := map[string][]float64{}
	for _, day := range days {
		for name, value := range day.Values() {
			all[name] = append(all[name], value)
		}
	}
	spreads := map[string][3]float64{}
	for name, values := range all {
		sort.Float64s(values)
		spreads[name] = [3]float64{values[len(values)/2], values[0], values[len(values)-1]}
	}
	return spreads
}
