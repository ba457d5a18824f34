// Package env reads a node's settings and derives all of its periods and timeouts from a few bounds.
package env

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/manifest"
	"github.com/rotisserie/eris"
)

// Bounds are the times and sizes that a node guarantees or accepts.
type Bounds struct {
	// WithdrawMs is the time within which no node sends new calls to a server that was withdrawn.
	WithdrawMs int64
	// EvacuateMs is the time within which the calls of a drained zone have ended or moved.
	EvacuateMs int64
	// DeliverMs is the time within which a change of configuration or membership reaches all nodes that can be reached.
	DeliverMs int64
	// ReturnMs is the time within which service is back after a fault has ended.
	ReturnMs int64
	// DeadlineMs is the longest time that a call may ask for.
	DeadlineMs int64
	// BodyBytes, ReplyBytes and ReportBytes bound a request's body, a server's reply, and a listing or report of the platform.
	BodyBytes   int64
	ReplyBytes  int64
	ReportBytes int64
	// Calls is how many calls a data node handles at a time, Records how many records of past calls it keeps to recognise retries.
	Calls   int64
	Records int64
	// History is how many versions of the configuration are kept, HistoryBytes how many bytes of their changes.
	History      int64
	HistoryBytes int64
}

// FollowerHistory is the History of nodes outside the control plane that a platform starts: they only follow the configuration.
const FollowerHistory = 32

// Env holds the settings of one node.
type Env struct {
	// Name is the name of the machine, which is unique in the fleet.
	Name   string
	Zone   string
	Region string
	// Control and Data are the addresses, IP and port, of the machine's control-plane and data-plane processes.
	Control string
	Data    string
	// Seeds are the addresses of the nodes that a starting node contacts first.
	Seeds []string
	// Folder is where a core member stores its data; empty on other nodes, which store nothing.
	Folder string
	// Platform is the http:// address of the platform that lists the servers.
	Platform string
	// CoreSize is how many members the replicated core of the control plane has.
	CoreSize int64
	Bounds   Bounds
	// Joins marks a machine that must not take part in the bootstrap of an empty fleet and only joins an existing core.
	Joins bool
	// Founders are the addresses of the core machines that bootstrap an empty fleet; empty means all core machines.
	Founders []string
	// Wide lets the control nodes of one region own the shards of another region that has none alive.
	Wide bool
	// Zones is the region of each zone, on a platform that tells it to its processes.
	Zones   map[string]string
	Gateway Gateway
	// StatusAddresses are where a process whose start waits may tell that; it takes the first free one.
	StatusAddresses []string
	// MemoryBytes is the memory that the process may take, OpenFiles the number of descriptors that it may open.
	MemoryBytes int64
	OpenFiles   int64
	// ProcessorQuota is the processor time that the process is granted, in processors; 0 stands for all of the machine.
	ProcessorQuota float64
}

// Defaults of what a process may take, for settings that do not say.
const (
	DefaultMemoryBytes = 1 << 30
	DefaultOpenFiles   = 4096
	maxProcessors      = 1 << 12
)

// DefaultBounds returns the bounds that apply where the settings name no others.
func DefaultBounds() Bounds {
	return Bounds{
		WithdrawMs: 4000, EvacuateMs: 5000, DeliverMs: 3000, ReturnMs: 12000, DeadlineMs: 60000,
		BodyBytes: 1 << 20, ReplyBytes: 1 << 20, ReportBytes: 1 << 20, Calls: 2048, Records: 65536, History: 256, HistoryBytes: 8 << 20,
	}
}

// Option changes settings, such as a command-line flag that overrides the file. Empty values leave the settings as they are.
type Option func(*Env)

// WithName sets the machine's name.
func WithName(name string) Option { return func(settings *Env) { setText(&settings.Name, name) } }

// WithZone sets the machine's zone.
func WithZone(zone string) Option { return func(settings *Env) { setText(&settings.Zone, zone) } }

// WithRegion sets the machine's region.
func WithRegion(region string) Option {
	return func(settings *Env) { setText(&settings.Region, region) }
}

// WithControl sets the address of the control-plane process.
func WithControl(address string) Option {
	return func(settings *Env) { setText(&settings.Control, address) }
}

// WithData sets the address of the data-plane process.
func WithData(address string) Option { return func(settings *Env) { setText(&settings.Data, address) } }

// WithFolder sets the data folder.
func WithFolder(folder string) Option {
	return func(settings *Env) { setText(&settings.Folder, folder) }
}

// WithPlatform sets the address of the platform.
func WithPlatform(address string) Option {
	return func(settings *Env) { setText(&settings.Platform, address) }
}

// WithSeeds sets the addresses to contact first.
func WithSeeds(seeds []string) Option {
	return func(settings *Env) {
		if len(seeds) > 0 {
			settings.Seeds = seeds
		}
	}
}

// setText sets a setting unless the value is empty.
func setText(target *string, value string) {
	if value != "" {
		*target = value
	}
}

// New returns default settings with options applied.
func New(options ...Option) Env {
	settings := Env{CoreSize: 3, Bounds: DefaultBounds(), MemoryBytes: DefaultMemoryBytes, OpenFiles: DefaultOpenFiles}
	for _, option := range options {
		option(&settings)
	}
	return settings
}

// Load reads and validates a settings file. Options override what the file says.
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
	return settings, settings.Validate()
}

// Parse reads settings from JSON without checking that they are complete; see Validate.
func Parse(content []byte) (Env, error) {
	tree, err := manifest.ParseObject(content)
	if err != nil {
		return Env{}, eris.Wrap(err, "settings")
	}
	reader := manifest.NewReader(tree)
	settings := New()
	known := []string{"name", "zone", "region", "control", "data", "seeds", "folder", "platform", "coreSize", "bounds", "memoryBytes", "openFiles", "processorQuota"}
	reader.AllowOnly("", known...)
	settings.Name = reader.Text("name", "")
	settings.Zone = reader.Text("zone", "")
	settings.Region = reader.Text("region", "")
	settings.Control = reader.Text("control", "")
	settings.Data = reader.Text("data", "")
	settings.Folder = reader.Text("folder", "")
	settings.Platform = reader.Text("platform", "")
	settings.CoreSize = reader.Integer("coreSize", 3, 1, 9)
	settings.MemoryBytes = reader.Integer("memoryBytes", DefaultMemoryBytes, 64<<20, 1<<40)
	settings.OpenFiles = reader.Integer("openFiles", DefaultOpenFiles, 256, 1<<24)
	settings.ProcessorQuota = reader.Float("processorQuota", 0, 0, maxProcessors)
	settings.Seeds = reader.Texts("seeds")
	settings.Bounds.parse(reader)
	return settings, reader.Err()
}

// parse reads the bounds that are given and leaves the others as they are.
func (bounds *Bounds) parse(reader *manifest.Reader) {
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
		*field.target = reader.Integer("bounds."+field.name, *field.target, field.least, field.top)
		names = append(names, field.name)
	}
	reader.AllowOnly("bounds", names...)
}

// Validate returns an error that lists all settings that are missing or malformed, or nil.
func (settings Env) Validate() error {
	problems := settings.missingNames()
	addresses := map[string]string{"control": settings.Control, "data": settings.Data}
	for index, seed := range settings.Seeds {
		addresses[fmt.Sprintf("seeds[%d]", index)] = seed
	}
	problems = append(problems, badAddresses(addresses, isAddress)...)
	if len(settings.Seeds) != 3 {
		problems = append(problems, fmt.Sprintf("seeds: want 3, got %d", len(settings.Seeds)))
	}
	if !strings.HasPrefix(settings.Platform, "http://") {
		problems = append(problems, fmt.Sprintf("platform: %q is not an http:// address", settings.Platform))
	}
	if len(problems) > 0 {
		return eris.New("settings: " + strings.Join(problems, "; "))
	}
	return nil
}

// ValidateProcess returns an error that lists what the settings of one process lack, which a platform wrote, or nil. control says that it is a
// control process. A file that is still being written lacks some of it.
func (settings Env) ValidateProcess(control bool) error {
	problems := settings.missingNames()
	addresses := map[string]string{"internal address": settings.Data, "address of callers": settings.Gateway.Traffic, "address of the readiness check": settings.Gateway.Ready,
		"address of the directory": settings.Gateway.Lookup}
	if control {
		addresses = map[string]string{"internal address": settings.Data, "control address": settings.Control}
	}
	problems = append(problems, badAddresses(addresses, isFixedAddress)...)
	if len(settings.Seeds) == 0 {
		problems = append(problems, "seeds: there are none")
	}
	for name, duration := range map[string]time.Duration{"tick": settings.Bounds.Tick(), "lease": settings.Bounds.LeaseRenewal(), "poll": settings.Bounds.PlatformPoll(), "contact": settings.Gateway.Contact} {
		if duration <= 0 {
			problems = append(problems, name+": the bounds leave no time for it")
		}
	}
	if len(problems) > 0 {
		sort.Strings(problems)
		return eris.New("settings: " + strings.Join(problems, "; "))
	}
	return nil
}

// missingNames lists the names that the settings lack.
func (settings Env) missingNames() []string {
	problems := []string{}
	for _, field := range [][2]string{{"name", settings.Name}, {"zone", settings.Zone}, {"region", settings.Region}} {
		if field[1] == "" {
			problems = append(problems, field[0]+": is missing")
		}
	}
	return problems
}

// badAddresses lists the addresses, by name, that are not valid.
func badAddresses(addresses map[string]string, isValid func(string) bool) []string {
	problems := []string{}
	for _, name := range manifest.SortedKeys(addresses) {
		if !isValid(addresses[name]) {
			problems = append(problems, fmt.Sprintf("%s: %q is not an IP number and port", name, addresses[name]))
		}
	}
	return problems
}

// isAddress reports whether text is an IP number and a port, isFixedAddress whether the port is a number other than 0 too.
func isAddress(text string) bool {
	host, _, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil
}

func isFixedAddress(text string) bool {
	_, port, _ := net.SplitHostPort(text)
	return isAddress(text) && port != "" && port != "0"
}

// JSON writes the settings in the form that Parse reads.
func (settings Env) JSON() []byte {
	bounds := settings.Bounds
	content, _ := json.MarshalIndent(map[string]any{
		"name": settings.Name, "zone": settings.Zone, "region": settings.Region, "control": settings.Control,
		"data": settings.Data, "seeds": settings.Seeds, "folder": settings.Folder, "platform": settings.Platform,
		"coreSize": settings.CoreSize, "memoryBytes": settings.MemoryBytes, "openFiles": settings.OpenFiles, "processorQuota": settings.ProcessorQuota,
		"bounds": map[string]any{"withdrawMs": bounds.WithdrawMs, "evacuateMs": bounds.EvacuateMs, "deliverMs": bounds.DeliverMs,
			"returnMs": bounds.ReturnMs, "deadlineMs": bounds.DeadlineMs, "bodyBytes": bounds.BodyBytes, "replyBytes": bounds.ReplyBytes,
			"reportBytes": bounds.ReportBytes, "calls": bounds.Calls, "records": bounds.Records, "history": bounds.History, "historyBytes": bounds.HistoryBytes},
	}, "", "  ")
	return content
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
