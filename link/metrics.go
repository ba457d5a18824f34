package link

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// families are counters that share a metric name and differ in one label; the rest of the internal name is the label's value.
var families = []struct{ prefix, name, label, help string }{
	{"outcomes_", "calls_ended", "outcome", "calls that ended on this node, by outcome"},
	{"attempts_", "attempts_ended", "proof", "attempts on servers, by what is known of their result"},
	{"answers_", "answers", "status", "refusals and errors returned to callers, by status"},
	{"writes_refused_", "writes_refused", "status", "operators' writes that were refused, by status"},
	{"writes_answered_", "writes_answered", "status", "operators' writes that were answered, by status"},
	{"clients_ended_", "clients_ended", "reason", "connections and requests of clients that the admission ended, by reason"},
	{"server_answers_ended_", "server_answers_ended", "bound", "answers of servers that met a bound, by bound"},
	{"faulty_answers_", "faulty_answers", "server", "answers that met a bound, by server"},
	{"passed_on_", "passed_on", "end", "calls forwarded to their home region, by whether it was reached"},
}

// helpTexts are the help texts of counters and gauges whose name does not suffice.
var helpTexts = map[string]string{
	"calls":                 "calls that arrived at this node",
	"calls_now":             "calls in progress on this node",
	"calls_in_line":         "calls queued on this node for a server",
	"callers_left":          "callers that disconnected before the end of their call",
	"readers_cut":           "callers disconnected because they read too slowly while too much data was buffered",
	"records":               "call records that this node keeps for itself and others",
	"records_handed_over":   "call records received from peers after a start",
	"repeats_met":           "repeated calls answered from a record",
	"repeats_after_not_run": "attempts on another server after the first provably did not run the call",
	"repeats_hedged":        "hedged lookups sent to a second server",
	"leases_refused":        "server lists refused for a lower epoch or another number of shards",
	"leases_late":           "server lists older than the current one",
	"leases_asked_around":   "lease requests sent through another node",
	"calls_widened":         "calls whose records went to another region's data nodes because half of the home region's could not be reached",
	"calls_displaced":       "queued calls refused to make room in a full queue because their caller had the most in it",
	"reports_asked_around":  "server reports read by a peer because this node could not",
	"reports_broken":        "server reports that could not be read",
	"reports_partial":       "server reports marked as partial",
	"listings_broken":       "platform listings that could not be read",
	"blind":                 "times that this node gave up its shards because it could not read the platform",
	"woken":                 "detected freezes of this process",
	"take_overs":            "shards taken over",
	"superseded":            "shards given up to a higher epoch",
	"shards_owned":          "shards owned by this node",
	"shards_lapsed":         "shards without a usable server list on this node",
	"manifest_revision":     "revision of the manifest in force on this node",
	"view":                  "number of the core's newest view known to this node",
	"members":               "live members known to this node",
	"view_campaigns":        "attempts to agree on a new view",
	"foundings_tried":       "attempts to bootstrap the core",
	"disk_failures":         "failed disk writes",
	"feed_refused":          "configuration versions refused because they were invalid",
	"messages_broken":       "messages that could not be decoded",
	"messages_dropped":      "messages dropped because a send queue was full",
	"messages_lost":         "messages lost in transmission",
	"messages_cut":          "messages dropped by the test rig",
	"index_checked":         "calls that showed whether their prompt was cached on the assigned server",
	"index_mismatches":      "calls that found their prompt not cached on the assigned server",
	"index_places_left":     "prompts reassigned after repeated cache misses",
	"index_losses_noticed":  "servers found to have lost their whole cache",
	"accepts_failed":        "failed calls of accept, after each of which the process goes on accepting",
	"ring_full":             "events refused because the event queue was full",
	"start_waited_ms":       "how long the start of this process waited for what it needed, in milliseconds",
	"starts_on_folder":      "starts of this process on its data folder, this one included",
}

// metrics are a process's counters, gauges and histograms, exported in the Prometheus text format.
type metrics struct {
	lock       sync.Mutex
	registry   *prometheus.Registry
	counters   map[string]*prometheus.CounterVec
	gauges     map[string]prometheus.Gauge
	histograms map[string]*prometheus.HistogramVec
	totals     map[string]int64 // counters by their internal names
}

func newMetrics() *metrics {
	return &metrics{registry: prometheus.NewRegistry(), counters: map[string]*prometheus.CounterVec{}, gauges: map[string]prometheus.Gauge{},
		histograms: map[string]*prometheus.HistogramVec{}, totals: map[string]int64{}}
}

func helpFor(name string) string {
	if help, found := helpTexts[name]; found {
		return help
	}
	return strings.ReplaceAll(name, "_", " ")
}

func (metrics *metrics) addCounter(name string, by int64) {
	metrics.lock.Lock()
	defer metrics.lock.Unlock()
	metrics.totals[name] += by
	metric, help, labels, values := name, helpFor(name), []string{}, []string{}
	for _, family := range families {
		if value, ok := strings.CutPrefix(name, family.prefix); ok {
			metric, help, labels, values = family.name, family.help, []string{family.label}, []string{value}
		}
	}
	vector, found := metrics.counters[metric]
	if !found {
		vector = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cedarreel", Name: metric + "_total", Help: help}, labels)
		metrics.registry.MustRegister(vector)
		metrics.counters[metric] = vector
	}
	vector.WithLabelValues(values...).Add(float64(by))
}

func (metrics *metrics) setGauge(name string, value int64) {
	metrics.lock.Lock()
	defer metrics.lock.Unlock()
	known, found := metrics.gauges[name]
	if !found {
		known = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "cedarreel", Name: name, Help: helpFor(name)})
		metrics.registry.MustRegister(known)
		metrics.gauges[name] = known
	}
	known.Set(float64(value))
}

const (
	firstBucket  = 0.005
	bucketGrowth = 2
	bucketCount  = 14
)

func (metrics *metrics) observeDuration(name, class string, took time.Duration) {
	metrics.lock.Lock()
	defer metrics.lock.Unlock()
	known, found := metrics.histograms[name]
	if !found {
		known = prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "cedarreel", Name: name + "_seconds", Help: helpFor(name) + ", in seconds, by class",
			Buckets: prometheus.ExponentialBuckets(firstBucket, bucketGrowth, bucketCount)}, []string{"class"})
		metrics.registry.MustRegister(known)
		metrics.histograms[name] = known
	}
	known.WithLabelValues(class).Observe(took.Seconds())
}

// Metrics returns the handler of the Prometheus metrics page.
func Metrics(loop *Loop) http.Handler {
	return promhttp.HandlerFor(loop.metrics.registry, promhttp.HandlerOpts{})
}
