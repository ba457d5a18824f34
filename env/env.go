// Package env reads a node's settings and derives every period from their bounds.
package env

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/manifest"
	"github.com/rotisserie/eris"
)

type Bounds struct {
	WithdrawMs  int64
	EvacuateMs  int64
	DeliverMs   int64
	ReturnMs    int64
	DeadlineMs  int64
	BodyBytes   int64
	ReplyBytes  int64
	ReportBytes int64
	Calls       int64
	Records     int64
	// History is how many versions of the configuration are kept, HistoryBytes how many bytes of changes of them.
	History      int64
	HistoryBytes int64
}

// HistoryOfNodes is how many versions are kept by a node that only follows the configuration, where a platform tells no other number.
const HistoryOfNodes = 32

type Env struct {
	Name     string
	Zone     string
	Region   string
	Control  string
	Data     string
	Seeds    []string
	Folder   string
	Platform string
	CoreSize int64
	Bounds   Bounds
	// Joins marks a machine that must not found a blank fleet. Wide lets the control nodes of one region own the shards of another
	// that has none alive. Zones gives the region of each zone, for a platform that tells it to its processes.
	Joins bool
	// Founders are the core machines that found a blank fleet, where not all core machines do.
	Founders []string
	Wide     bool
	Zones    map[string]string
	Gateway  Gateway
}

func DefaultBounds() Bounds {
	return Bounds{
		WithdrawMs: 4000, EvacuateMs: 5000, DeliverMs: 3000, ReturnMs: 12000, DeadlineMs: 60000,
		BodyBytes: 1 << 20, ReplyBytes: 1 << 20, ReportBytes: 1 << 20, Calls: 2048, Records: 65536, History: 256, HistoryBytes: 8 << 20,
	}
}

type Option func(*Env)

func WithName(name string) Option { return func(settings *Env) { setText(&settings.Name, name) } }
func WithZone(zone string) Option { return func(settings *Env) { setText(&settings.Zone, zone) } }
func WithRegion(region string) Option {
	return func(settings *Env) { setText(&settings.Region, region) }
}
func WithControl(address string) Option {
	return func(settings *Env) { setText(&settings.Control, address) }
}
func WithData(address string) Option { return func(settings *Env) { setText(&settings.Data, address) } }
func WithFolder(folder string) Option {
	return func(settings *Env) { setText(&settings.Folder, folder) }
}
func WithPlatform(address string) Option {
	return func(settings *Env) { setText(&settings.Platform, address) }
}
func WithSeeds(seeds []string) Option {
	return func(settings *Env) {
		if len(seeds) > 0 {
			settings.Seeds = seeds
		}
	}
}

func setText(target *string, value string) {
	if value != "" {
		*target = value
	}
}

func New(options ...Option) Env {
	settings := Env{CoreSize: 3, Bounds: DefaultBounds()}
	for _, option := range options {
		option(&settings)
	}
	return settings
}

func Load(path string, options ...Option) (Env, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Env{}, eris.Wrap(err, "settings cannot be read")
	}
	settings, err := Parse(content)
	if err != nil {
		return Env{}, err
	}
	for _, option := range options {
		option(&settings)
	}
	return settings, settings.Check()
}

func Parse(content []byte) (Env, error) {
	tree, err := manifest.ParseObject(content)
	if err != nil {
		return Env{}, eris.Wrap(err, "settings")
	}
	reader := manifest.NewReader(tree)
	settings := New()
	known := []string{"name", "zone", "region", "control", "data", "seeds", "folder", "platform", "coreSize", "bounds"}
	reader.AllowOnly("", known...)
	settings.Name = reader.Text("name", "")
	settings.Zone = reader.Text("zone", "")
	settings.Region = reader.Text("region", "")
	settings.Control = reader.Text("control", "")
	settings.Data = reader.Text("data", "")
	settings.Folder = reader.Text("folder", "")
	settings.Platform = reader.Text("platform", "")
	settings.CoreSize = reader.Number("coreSize", 3, 1, 9)
	settings.Seeds = reader.Texts("seeds")
	settings.Bounds.read(reader)
	return settings, reader.Err()
}

func (bounds *Bounds) read(reader *manifest.Reader) {
	fields := []struct {
		name       string
		target     *int64
		least, top int64
	}{
		{"withdrawMs", &bounds.WithdrawMs, 400, 60000}, {"evacuateMs", &bounds.EvacuateMs, 500, 60000},
		{"deliverMs", &bounds.DeliverMs, 300, 60000}, {"returnMs", &bounds.ReturnMs, 1000, 600000},
		{"deadlineMs", &bounds.DeadlineMs, 1000, 3600000}, {"bodyBytes", &bounds.BodyBytes, 1024, 64 << 20},
		{"replyBytes", &bounds.ReplyBytes, 1024, 64 << 20}, {"reportBytes", &bounds.ReportBytes, 256, 1 << 20},
		{"calls", &bounds.Calls, 1, 1 << 20}, {"records", &bounds.Records, 16, 1 << 24}, {"history", &bounds.History, 2, 4096},
		{"historyBytes", &bounds.HistoryBytes, 1 << 10, 1 << 30},
	}
	names := []string{}
	for _, field := range fields {
		*field.target = reader.Number("bounds."+field.name, *field.target, field.least, field.top)
		names = append(names, field.name)
	}
	reader.AllowOnly("bounds", names...)
}

func (settings Env) Check() error {
	wrong := []string{}
	for _, field := range [][2]string{{"name", settings.Name}, {"zone", settings.Zone}, {"region", settings.Region}} {
		if field[1] == "" {
			wrong = append(wrong, field[0]+": is missing")
		}
	}
	addresses := map[string]string{"control": settings.Control, "data": settings.Data}
	for index, seed := range settings.Seeds {
		addresses[fmt.Sprintf("seeds[%d]", index)] = seed
	}
	for _, path := range manifest.SortedKeys(addresses) {
		host, _, err := net.SplitHostPort(addresses[path])
		if err != nil || net.ParseIP(host) == nil {
			wrong = append(wrong, fmt.Sprintf("%s: %q is not an IP number and port", path, addresses[path]))
		}
	}
	if len(settings.Seeds) != 3 {
		wrong = append(wrong, fmt.Sprintf("seeds: want 3, got %d", len(settings.Seeds)))
	}
	if !strings.HasPrefix(settings.Platform, "http://") {
		wrong = append(wrong, fmt.Sprintf("platform: %q is not an http:// address", settings.Platform))
	}
	if len(wrong) > 0 {
		return eris.New("settings: " + strings.Join(wrong, "; "))
	}
	return nil
}

func (settings Env) Text() []byte {
	bounds := settings.Bounds
	content, _ := json.MarshalIndent(map[string]any{
		"name": settings.Name, "zone": settings.Zone, "region": settings.Region, "control": settings.Control,
		"data": settings.Data, "seeds": settings.Seeds, "folder": settings.Folder, "platform": settings.Platform,
		"coreSize": settings.CoreSize,
		"bounds": map[string]any{"withdrawMs": bounds.WithdrawMs, "evacuateMs": bounds.EvacuateMs, "deliverMs": bounds.DeliverMs,
			"returnMs": bounds.ReturnMs, "deadlineMs": bounds.DeadlineMs, "bodyBytes": bounds.BodyBytes, "replyBytes": bounds.ReplyBytes,
			"reportBytes": bounds.ReportBytes, "calls": bounds.Calls, "records": bounds.Records, "history": bounds.History, "historyBytes": bounds.HistoryBytes},
	}, "", "  ")
	return content
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
