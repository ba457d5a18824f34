package manifest

import (
	"strings"
	"time"
)

// Kinds of gateway routes, as they are written in the manifest.
const (
	KindReadOnly  = "read_only"
	KindMutating  = "mutating"
	KindStreaming = "streaming"
	// maxInteger is the upper bound of integers that have no tighter one.
	maxInteger = 1 << 40
)

// Gateway is the configuration of the transparent proxy: routes, their services (groups of servers) and the tenants that may call. Revision
// is the operators' own number for it and independent of the revision of the manifest.
type Gateway struct {
	Revision int64
	Routes   Routes
	Services map[string]Service
	Tenants  Tenants
	Limits   Limits
}

// GatewayRoute is a route of opaque calls. It is matched by host, without regard to case, and longest path prefix.
type GatewayRoute struct {
	Name   string
	Host   string
	Prefix string
	// Kind is one of KindReadOnly, KindMutating and KindStreaming.
	Kind string
	// Timeout is how long a call may take in all. LatencyTarget is the wanted time until the first piece of the answer, TokenGap the
	// wanted time between two pieces; 0 means no target.
	Timeout       time.Duration
	LatencyTarget time.Duration
	TokenGap      time.Duration
	// Priority and SessionAffinity are validated and kept for the platform; calls are not treated differently.
	Priority int64
	// MaxAttempts is how many servers a call may be sent to, the first included.
	MaxAttempts int64
	// Resumable routes stream answers that another server can continue after the last piece that was received.
	Resumable       bool
	SessionAffinity bool
	// Public routes need no tenant's key.
	Public bool
	Split  []WeightedService
	// AllowedRegions are the only regions that may run or store calls of the route; empty means all.
	AllowedRegions []string
}

// Repeatable reports whether a call of the route may run more than once, so that it may be retried after a server may have started it.
func (route GatewayRoute) Repeatable() bool { return route.Kind == KindReadOnly || route.Resumable }

// WeightedService is one target of a traffic split. Calls are spread in proportion to the weights.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of servers that run the same model or program. Engine is nil for servers that do not batch.
type Service struct {
	HealthPath string
	// MaxConnections bounds the connections to one server from all nodes together; 0 means no bound.
	MaxConnections int64
	// WarmupDuration is how long a server is cold after its start. Until then it takes WarmupRate calls a second.
	WarmupDuration time.Duration
	WarmupRate     float64
	Engine         *Engine
}

// Engine describes model servers that batch calls and cache the prompts that they have read.
type Engine struct {
	// Slots is how many calls a server runs in one batch.
	Slots int64
	// TokenCapacity is how many tokens of prompts and answers a server's memory holds.
	TokenCapacity int64
	// TokensPerStep is how many tokens a running call produces in one step of the batch.
	TokensPerStep int64
}

// Limits bounds the size of a caller's request and the time that it may take to send it. Zero means no bound.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// gatewayBase reads the gateway section without its routes and tenants, which are read one by one.
func (reader *Reader) gatewayBase() Gateway {
	gateway := Gateway{Services: map[string]Service{}}
	if _, found := reader.lookup("gateway"); !found {
		return gateway
	}
	section := reader.Object("gateway")
	section.AllowOnly("", "revision", "routes", "services", "tenants", "limits", "more")
	gateway.Revision = section.Integer("revision", 0, 0, maxInteger)
	for _, name := range section.Keys("services") {
		gateway.Services[name] = section.Object("services." + name).service()
	}
	section.Keys("routes")
	section.Keys("tenants")
	gateway.Limits = Limits{HeaderBytes: section.Integer("limits.headerBytes", 0, 0, maxInteger), BodyBytes: section.Integer("limits.bodyBytes", 0, 0, maxInteger),
		HeaderTimeout: section.duration("limits.headerMs", 0, 0, maxInteger), IdleTimeout: section.duration("limits.idleMs", 0, 0, maxInteger)}
	return gateway
}

func (reader *Reader) service() Service {
	parsed := Service{HealthPath: reader.Text("healthPath", ""), MaxConnections: reader.Integer("connections", 0, 0, maxInteger),
		WarmupDuration: time.Duration(reader.Float("warmupS", 0, 0, 1e6) * float64(time.Second)),
		WarmupRate:     reader.Float("warmupPerS", 0, 0, 1e9)}
	if _, found := reader.lookup("engine"); found {
		engine := reader.Object("engine")
		parsed.Engine = &Engine{Slots: engine.Integer("slots", 1, 1, maxInteger), TokenCapacity: engine.Integer("tokens", 0, 0, maxInteger), TokensPerStep: engine.Integer("stride", 1, 1, maxInteger)}
	}
	return parsed
}

// gatewayRoute reads one route; services are those that it may name.
func (reader *Reader) gatewayRoute(name string, services map[string]Service) GatewayRoute {
	route := GatewayRoute{Name: name, Host: strings.ToLower(reader.Text("host", "")), Prefix: reader.Text("prefix", ""), Kind: reader.Text("kind", KindMutating),
		Timeout: reader.duration("timeoutMs", 0, 0, maxInteger), LatencyTarget: reader.duration("aimMs", 0, 0, maxInteger), TokenGap: reader.duration("gapMs", 0, 0, maxInteger),
		Priority: reader.Integer("rank", 0, 0, 1000), MaxAttempts: reader.Integer("attempts", 1, 0, 1000), Resumable: reader.Bool("resumable"),
		SessionAffinity: reader.Bool("affinity"), Public: reader.Bool("public"), AllowedRegions: reader.Texts("regions")}
	if route.Kind != KindReadOnly && route.Kind != KindMutating && route.Kind != KindStreaming {
		reader.Errorf("kind", "want read_only, mutating or streaming, got %q", route.Kind)
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		reader.Errorf("prefix", "want a path that begins and ends with a slash, got %q", route.Prefix)
	}
	if route.Timeout <= 0 {
		reader.Errorf("timeoutMs", "want more than 0")
	}
	route.Split = reader.split(services)
	return route
}

// split reads the services of a route: a single one under "service", or several under "split" whose weights must not all be 0.
func (reader *Reader) split(services map[string]Service) []WeightedService {
	requireService := func(path, name string) {
		if _, found := services[name]; !found {
			reader.Errorf(path, "no such service %q", name)
		}
	}
	value, found := reader.lookup("split")
	if !found {
		name := reader.Text("service", "")
		requireService("service", name)
		return []WeightedService{{Service: name, Weight: 1}}
	}
	items, ok := value.([]any)
	if !ok {
		reader.Errorf("split", "want a list")
	}
	shares, sum := []WeightedService{}, 0.0
	for _, item := range items {
		tree, ok := item.(map[string]any)
		if !ok {
			reader.Errorf("split", "want a list of objects")
			continue
		}
		itemReader := &Reader{tree: tree, prefix: JoinPath(reader.prefix, "split"), errs: reader.errs}
		share := WeightedService{Service: itemReader.Text("service", ""), Weight: itemReader.Float("weight", 0, 0, 1e9)}
		requireService("split", share.Service)
		sum += share.Weight
		shares = append(shares, share)
	}
	if sum <= 0 {
		reader.Errorf("split", "the weights add up to nothing")
	}
	return shares
}
