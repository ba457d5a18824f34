package manifest

import (
	"strings"
	"time"
)

const (
	KindReadOnly  = "read_only"
	KindMutating  = "mutating"
	KindStreaming = "streaming"
	mostWhole     = 1 << 40
)

// Gateway holds the routes of calls that pass through without being understood, under the operators' own revision number.
type Gateway struct {
	Revision int64
	Routes   Routes
	Services map[string]Service
	Tenants  Tenants
	Limits   Limits
}

// GatewayRoute is found by host and longest path prefix; Regions, if any, are the only ones that may serve or hold its calls. A public
// route's calls need no tenant's key.
type GatewayRoute struct {
	Name      string
	Host      string
	Prefix    string
	Kind      string
	Timeout   time.Duration
	Aim       time.Duration
	Gap       time.Duration
	Rank      int64
	Attempts  int64
	Resumable bool
	Affinity  bool
	Public    bool
	Split     []Share
	Regions   []string
}

// Repeatable tells whether one call of the route may run more than once.
func (route GatewayRoute) Repeatable() bool { return route.Kind == KindReadOnly || route.Resumable }

type Share struct {
	Service string
	Weight  float64
}

// Service is a set of servers. Warmup and WarmupRate bound what a server takes right after its start: calls a second.
type Service struct {
	HealthPath  string
	Connections int64
	Warmup      time.Duration
	WarmupRate  float64
	Engine      *Engine
}

// Engine describes model servers that work in batches and keep read prompts: slots a batch and tokens of memory.
type Engine struct {
	Slots  int64
	Tokens int64
	Stride int64
}

// Limits bound what a caller may send and how long it may take; zero means no bound.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// gateway reads the section without its routes and tenants, which are read one by one.
func (reader *Reader) gateway() Gateway {
	read := Gateway{Services: map[string]Service{}}
	if _, there := reader.at("gateway"); !there {
		return read
	}
	under := reader.Under("gateway")
	under.Only("", "revision", "routes", "services", "tenants", "limits", "more")
	read.Revision = under.Number("revision", 0, 0, mostWhole)
	for _, name := range under.Keys("services") {
		read.Services[name] = under.Under("services." + name).service()
	}
	under.Keys("routes")
	under.Keys("tenants")
	read.Limits = Limits{HeaderBytes: under.Number("limits.headerBytes", 0, 0, mostWhole), BodyBytes: under.Number("limits.bodyBytes", 0, 0, mostWhole),
		HeaderTime: under.span("limits.headerMs", 0, 0, mostWhole), IdleTime: under.span("limits.idleMs", 0, 0, mostWhole)}
	return read
}

func (reader *Reader) service() Service {
	read := Service{HealthPath: reader.Text("healthPath", ""), Connections: reader.Number("connections", 0, 0, mostWhole),
		Warmup:     time.Duration(reader.Real("warmupS", 0, 0, 1e6) * float64(time.Second)),
		WarmupRate: reader.Real("warmupPerS", 0, 0, 1e9)}
	if _, there := reader.at("engine"); there {
		engine := reader.Under("engine")
		read.Engine = &Engine{Slots: engine.Number("slots", 1, 1, mostWhole), Tokens: engine.Number("tokens", 0, 0, mostWhole), Stride: engine.Number("stride", 1, 1, mostWhole)}
	}
	return read
}

func (reader *Reader) gatewayRoute(name string, services map[string]Service) GatewayRoute {
	route := GatewayRoute{Name: name, Host: strings.ToLower(reader.Text("host", "")), Prefix: reader.Text("prefix", ""), Kind: reader.Text("kind", KindMutating),
		Timeout: reader.span("timeoutMs", 0, 0, mostWhole), Aim: reader.span("aimMs", 0, 0, mostWhole), Gap: reader.span("gapMs", 0, 0, mostWhole),
		Rank: reader.Number("rank", 0, 0, 1000), Attempts: reader.Number("attempts", 1, 0, 1000), Resumable: reader.Truth("resumable"),
		Affinity: reader.Truth("affinity"), Public: reader.Truth("public"), Regions: reader.Texts("regions")}
	if route.Kind != KindReadOnly && route.Kind != KindMutating && route.Kind != KindStreaming {
		reader.Wrong("kind", "want read_only, mutating or streaming, got %q", route.Kind)
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		reader.Wrong("prefix", "want a path that begins and ends with a slash, got %q", route.Prefix)
	}
	if route.Timeout <= 0 {
		reader.Wrong("timeoutMs", "want more than 0")
	}
	route.Split = reader.split(services)
	return route
}

// split reads one service, or several with weights that do not add up to nothing.
func (reader *Reader) split(services map[string]Service) []Share {
	known := func(path, name string) {
		if _, there := services[name]; !there {
			reader.Wrong(path, "no such service %q", name)
		}
	}
	value, there := reader.at("split")
	if !there {
		name := reader.Text("service", "")
		known("service", name)
		return []Share{{Service: name, Weight: 1}}
	}
	items, fine := value.([]any)
	if !fine {
		reader.Wrong("split", "want a list")
	}
	shares, sum := []Share{}, 0.0
	for _, item := range items {
		tree, fine := item.(map[string]any)
		if !fine {
			reader.Wrong("split", "want a list of objects")
			continue
		}
		one := &Reader{tree: tree, prefix: Join(reader.prefix, "split"), errs: reader.errs}
		share := Share{Service: one.Text("service", ""), Weight: one.Real("weight", 0, 0, 1e9)}
		known("split", share.Service)
		sum += share.Weight
		shares = append(shares, share)
	}
	if sum <= 0 {
		reader.Wrong("split", "the weights add up to nothing")
	}
	return shares
}
