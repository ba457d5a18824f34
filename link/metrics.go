package link

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// families are the counts that share a name and differ in one label.
var families = []struct{ prefix, name, label, help string }{
	{"outcomes_", "calls_ended", "outcome", "calls that ended here, by what became of them"},
	{"attempts_", "attempts_ended", "proof", "attempts at servers, by what is known of their end"},
	{"answers_", "answers", "status", "refusals and troubles told to callers, by status"},
	{"writes_refused_", "writes_refused", "status", "operators' writes refused, by status"},
	{"writes_answered_", "writes_answered", "status", "operators' writes answered, by status"},
	{"passed_on_", "passed_on", "end", "calls passed on to their home, by whether it was reached"},
}

// helps tell what a count or a gauge is of, where its name does not say it all.
var helps = map[string]string{
	"calls":                 "calls that arrived at this node",
	"calls_now":             "calls that this node works on now",
	"calls_in_line":         "calls that wait here for a server now",
	"callers_left":          "callers that went away before the end",
	"readers_cut":           "callers cut because they read too slowly while too much waited",
	"records":               "calls that this node remembers for others and itself",
	"records_handed_over":   "records that peers gave to this node when it started",
	"repeats_met":           "repeats answered from a record",
	"repeats_after_not_run": "tries at another server after a proven not-run",
	"repeats_hedged":        "lookups sent to a second server",
	"leases_refused":        "pick lists of a lower epoch or another division",
	"leases_late":           "pick lists older than the one held",
	"leases_asked_around":   "questions for a lease that went by way of another node",
	"calls_widened":         "calls that another region's data nodes were asked to keep, since half of the home region could not be",
	"calls_displaced":       "calls refused to make room in a full line, since their caller had the most in it",
	"reports_asked_around":  "reports read by a peer because this node could not",
	"reports_broken":        "reports that could not be read",
	"reports_partial":       "reports that said they were partial",
	"listings_broken":       "listings of the platform that could not be read",
	"blind":                 "times that this node gave its duties up because it could not read the platform",
	"woken":                 "freezes of this process that it noticed",
	"take_overs":            "shards taken over",
	"superseded":            "shards given up to a higher epoch",
	"shards_owned":          "shards owned by this node now",
	"shards_lapsed":         "shards that this node cannot pick from now",
	"manifest_revision":     "revision of the manifest in force here",
	"view":                  "number of the core's view known here",
	"members":               "live members known here",
	"view_campaigns":        "tries to agree on a new view",
	"foundings_tried":       "tries to found the core",
	"disk_failures":         "writes that the disk refused",
	"feed_refused":          "changes refused because they were damaged",
	"messages_broken":       "messages that could not be read",
	"messages_dropped":      "messages dropped because a ring was full",
	"messages_lost":         "messages that did not arrive",
	"messages_cut":          "messages held back by the test rig",
	"index_checked":         "calls that showed whether their prompt's place kept it",
	"index_mismatches":      "calls that read a prompt anew at its place",
	"index_places_left":     "places that left a server which missed their prompt again",
	"index_losses_noticed":  "servers that were found to have lost all that they kept",
	"ring_full":             "events refused because the ring was full",
}

// measures are a process's counters, gauges and times in the Prometheus text format.
type measures struct {
	lock     sync.Mutex
	registry *prometheus.Registry
	counts   map[string]*prometheus.CounterVec
	gauges   map[string]prometheus.Gauge
	spans    map[string]*prometheus.HistogramVec
	told     map[string]int64
}

func newMeasures() *measures {
	return &measures{registry: prometheus.NewRegistry(), counts: map[string]*prometheus.CounterVec{}, gauges: map[string]prometheus.Gauge{},
		spans: map[string]*prometheus.HistogramVec{}, told: map[string]int64{}}
}

func helpOf(name string) string {
	if help, there := helps[name]; there {
		return help
	}
	return strings.ReplaceAll(name, "_", " ")
}

func (measures *measures) count(name string, by int64) {
	measures.lock.Lock()
	defer measures.lock.Unlock()
	measures.told[name] += by
	metric, help, labels, values := name, helpOf(name), []string{}, []string{}
	for _, family := range families {
		if value, fine := strings.CutPrefix(name, family.prefix); fine {
			metric, help, labels, values = family.name, family.help, []string{family.label}, []string{value}
		}
	}
	vector, there := measures.counts[metric]
	if !there {
		vector = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cedarreel", Name: metric + "_total", Help: help}, labels)
		measures.registry.MustRegister(vector)
		measures.counts[metric] = vector
	}
	vector.WithLabelValues(values...).Add(float64(by))
}

func (measures *measures) gauge(name string, value int64) {
	measures.lock.Lock()
	defer measures.lock.Unlock()
	known, there := measures.gauges[name]
	if !there {
		known = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "cedarreel", Name: name, Help: helpOf(name)})
		measures.registry.MustRegister(known)
		measures.gauges[name] = known
	}
	known.Set(float64(value))
}

const (
	firstBucket  = 0.005
	bucketGrowth = 2
	bucketCount  = 14
)

func (measures *measures) span(name, class string, took time.Duration) {
	measures.lock.Lock()
	defer measures.lock.Unlock()
	known, there := measures.spans[name]
	if !there {
		known = prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "cedarreel", Name: name + "_seconds", Help: helpOf(name) + ", in seconds, by class",
			Buckets: prometheus.ExponentialBuckets(firstBucket, bucketGrowth, bucketCount)}, []string{"class"})
		measures.registry.MustRegister(known)
		measures.spans[name] = known
	}
	known.WithLabelValues(class).Observe(took.Seconds())
}

// Metrics is the counters' page.
func Metrics(loop *Loop) http.Handler {
	return promhttp.HandlerFor(loop.measures.registry, promhttp.HandlerOpts{})
}
