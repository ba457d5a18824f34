package emulator

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/manifest"
)

// Figure is how one call ended.
type Figure struct {
	Class   string
	Outcome string
	First   time.Duration
	Ended   time.Duration
	Paused  bool
	waits   waits
}

// ClassFigures sums the calls of a class: those served inside their aim, late, refused and failed.
type ClassFigures struct {
	Asked, Aim, Late, Refused, Failed int
	Median, Slowest                   time.Duration
}

// Figures sum a day.
type Figures struct {
	Classes                       map[string]ClassFigures
	Read, Again, Far              int64
	Opened, PutBacks, Lists, Runs int64
	Caches                        CacheFigures
	Account                       Account
}

func (day *Day) sum() Figures {
	sum := Figures{Classes: map[string]ClassFigures{}, Read: day.read, Again: day.again, Far: day.world.far, Opened: day.opened, PutBacks: day.putBacks,
		Lists: day.list.Asked + day.list.Declined, Runs: day.runs, Caches: day.cacheFigures(), Account: day.account()}
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

// Values gives every figure by name, shares in percent and times in milliseconds.
func (figures Figures) Values() map[string]float64 {
	values := map[string]float64{"prompt tokens read": float64(figures.Read), "shared tokens read again": float64(figures.Again), "bytes between regions": float64(figures.Far),
		"connections opened": float64(figures.Opened), "put back": float64(figures.PutBacks), "lists asked": float64(figures.Lists)}
	for name, class := range figures.Classes {
		share := func(count int) float64 { return 100 * float64(count) / float64(max(1, class.Asked)) }
		values[name+" in aim %"], values[name+" late %"] = share(class.Aim), share(class.Late)
		values[name+" refused %"], values[name+" failed %"] = share(class.Refused), share(class.Failed)
		values[name+" p50 ms"], values[name+" p99 ms"] = class.Median.Seconds()*1000, class.Slowest.Seconds()*1000
	}
	for name, value := range figures.Account.values() {
		values[name] = value
	}
	for name, value := range figures.Caches.values() {
		values[name] = value
	}
	return values
}

func (figures Figures) Text() string {
	text := strings.Builder{}
	for _, name := range manifest.SortedKeys(figures.Classes) {
		class := figures.Classes[name]
		fmt.Fprintf(&text, "%s: asked %d, in aim %d, late %d, refused %d, failed %d, first piece p50 %v p99 %v\n", name, class.Asked, class.Aim, class.Late, class.Refused,
			class.Failed, class.Median.Round(time.Millisecond), class.Slowest.Round(time.Millisecond))
	}
	fmt.Fprintf(&text, "tokens read %d, shared read again %d, bytes between regions %d, connections opened %d, put back %d, lists asked %d\n", figures.Read, figures.Again,
		figures.Far, figures.Opened, figures.PutBacks, figures.Lists)
	text.WriteString(figures.Account.text())
	text.WriteString(figures.Caches.text())
	return text.String()
}

// Spreads gives median, least and most of each figure over several days.
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
