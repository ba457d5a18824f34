package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/cedarreel/cedarreel/admission"
	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/control"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/image"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/link"
	"github.com/cedarreel/cedarreel/listing"
	"github.com/cedarreel/cedarreel/oserr"
	"github.com/cedarreel/cedarreel/retire"
	"github.com/cedarreel/cedarreel/shard"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/rotisserie/eris"
)

const (
	// maxConcurrentReads bounds the requests to the platform and to model servers that run at the same time.
	maxConcurrentReads = 64
	// diskQueueLength bounds the writes to disk that wait; more block the event loop.
	diskQueueLength = 16
)

// controlProcess runs the state machine of a control-plane node: it carries out its disk writes and its requests to the platform and to
// model servers. adapter is nil if the platform speaks the built-in protocol.
type controlProcess struct {
	*Process
	files     image.Files
	writes    chan chain.Persist
	readSlots chan struct{}
	client    *http.Client
	adapter   Adapter
}

// Control runs a control-plane node (cedarcp) until a signal stops it. faultsPath names a file of faults for tests, or is empty.
func Control(settings env.Env, faultsPath string) error { return runControl(settings, faultsPath, nil) }

// ControlWithAdapter runs a control-plane node that reaches its platform and its operators through an adapter.
func ControlWithAdapter(adapter Adapter) error {
	settings, err := awaitSettings(adapter, contract.KindControl)
	if err != nil {
		return err
	}
	return runControl(settings, "", adapter)
}

func runControl(settings env.Env, faultsPath string, adapter Adapter) error {
	bootID := newBootID()
	var recovered *chain.Recovered
	var opened openedFolder
	process := &controlProcess{adapter: adapter, writes: make(chan chain.Persist, diskQueueLength), readSlots: make(chan struct{}, maxConcurrentReads)}
	if settings.Folder != "" {
		var err error
		opened, err = retryStart(newLogger(settings.Name), "data folder", oserr.IsPassing, func() (openedFolder, error) { return openFolder(settings.Folder) })
		if err != nil {
			return err
		}
		recovered, process.files = &opened.recovered, opened.folder
	}
	stateMachine := control.New(settings, bootID, recovered, newRandom())
	process.Process = newProcess(settings, stateMachine.Self(), stateMachine, admission.SinglePortBudget(settings.MemoryBytes, settings.OpenFiles), faultsPath)
	if recovered != nil {
		process.beginLife(opened.folder)
		snapshot, damaged := image.LoadIndex(process.files)
		stateMachine.RestoreIndex(snapshot)
		process.Loop.Count("index_snapshots_damaged", int64(damaged))
		process.Loop.Count("index_places_restored", int64(len(snapshot.Places)))
		process.files = link.FaultyDisk(process.files, process.Faults)
		for _, err := range recovered.Damaged {
			_ = process.Logger.Log("what", "damaged file set aside", "error", err)
		}
		if recovered.Member.ID == "" {
			process.writeFirstRecord(stateMachine.MemberRecord())
		}
	}
	process.client = &http.Client{Transport: link.NewTransport(), Timeout: settings.Bounds.PlatformPoll(), CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	process.Loop.SetExecutor(process.execute)
	go process.writeLoop()
	if adapter != nil {
		process.ReloadSettings = func() (env.Env, error) { return readSettings(adapter, contract.KindControl) }
		for _, endpoint := range adapter.OperatorEndpoints() {
			process.Mux.HandleFunc(endpoint.Pattern, process.operatorHandler(endpoint))
		}
	}
	return process.listenAndRun(settings.Control, func() {
		process.Loop.Post(control.Leave{})
		sleep(settings.Bounds.GossipInterval())
	})
}

// writeFirstRecord writes the member record to a folder that has none. A first life that ends before that has no part in the founding of the fleet.
func (process *controlProcess) writeFirstRecord(record chain.MemberRecord) {
	if err := image.Save(process.files, chain.Persist{Member: &record}); err != nil {
		_ = process.Logger.Log("what", "first record not written", "why", err)
	}
}

// openedFolder is a data folder that this process holds until it has ended, and what was in it.
type openedFolder struct {
	folder    image.Folder
	recovered chain.Recovered
}

// openFolder locks a data folder and loads what it holds. A former life that still runs has the lock: what it writes until its end must be loaded.
func openFolder(path string) (opened openedFolder, err error) {
	if opened.folder, err = image.Open(path); err != nil {
		return opened, err
	}
	lock, err := opened.folder.TryLock()
	if err != nil {
		return opened, err
	}
	if opened.recovered, err = image.Load(opened.folder); err != nil {
		lock.Release()
	}
	return opened, err
}

// execute carries out a command of the state machine. It reports whether it knows the command.
func (process *controlProcess) execute(command contract.Command) bool {
	switch command := command.(type) {
	case chain.Persist:
		process.writes <- command
	case index.Persist:
		go process.writeIndex(command)
	case shard.ReadPlatform:
		process.startRead(func() { process.readPlatform(command) }, shard.ListingResult{Error: "too many reads at once"})
	case shard.ReadReport:
		process.startRead(func() { process.readReport(command) }, shard.ReportResult{Server: command.Server, Request: command, ReadResult: retire.ReadResult{Error: "too many reads at once"}})
	case shard.Order:
		process.startRead(func() { process.sendOrder(command) }, shard.OrderResult{Server: command.Server, Load: command.Load, Error: "too many reads at once"})
	case contract.Forward:
		go process.operators.Forward(command)
	default:
		return false
	}
	return true
}

// writeLoop writes versions to disk one after the other and reports the result of each.
func (process *controlProcess) writeLoop() {
	for {
		select {
		case <-process.stop:
			return
		case work := <-process.writes:
			persisted := chain.Persisted{Token: work.Token}
			if err := image.Save(process.files, work); err != nil {
				persisted.Error = err.Error()
			}
			process.Loop.Post(persisted)
		}
	}
}

// writeIndex saves a snapshot of the prompt index. It runs in its own goroutine, one at a time, so that a stalled disk delays nothing else.
func (process *controlProcess) writeIndex(work index.Persist) {
	persisted := index.Persisted{}
	if err := image.SaveIndex(process.files, work.Snapshot); err != nil {
		persisted.Error = err.Error()
	}
	process.Loop.Post(persisted)
}

// startRead runs work in a goroutine, or posts the event rejected if too many are running.
func (process *controlProcess) startRead(work func(), rejected contract.Event) {
	select {
	case process.readSlots <- struct{}{}:
		go func() {
			defer func() { <-process.readSlots }()
			work()
		}()
	default:
		process.Loop.TryPost(rejected)
	}
}

// fetch fetches a URL and returns the body of a 200 response within the size limit.
func (process *controlProcess) fetch(address string) ([]byte, error) {
	limit := process.Settings.Bounds.ReportBytes
	encode := func(context.Context, any) (*http.Request, error) {
		return http.NewRequest(http.MethodGet, address, nil)
	}
	decode := func(_ context.Context, response *http.Response) (any, error) {
		if response.StatusCode != http.StatusOK {
			return nil, eris.Errorf("answered %d", response.StatusCode)
		}
		content, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
		if err == nil && int64(len(content)) > limit {
			err = eris.Errorf("larger than %d bytes", limit)
		}
		return content, err
	}
	content, err := kithttp.NewExplicitClient(encode, decode, kithttp.SetClient(process.client)).Endpoint()(context.Background(), nil)
	if err != nil {
		return nil, err
	}
	return content.([]byte), nil
}

// readPlatform reads the platform's list of servers.
func (process *controlProcess) readPlatform(command shard.ReadPlatform) {
	result := shard.ListingResult{StartedAt: process.Loop.Now()}
	var content []byte
	var err error
	if process.adapter != nil {
		result.Listing, err = process.adapter.ReadListing(process.Settings, process.fetch)
	} else if content, err = process.fetch(process.Settings.Platform + "/servers?region=" + url.QueryEscape(command.Region)); err == nil {
		result.Listing, err = listing.ParseListing(content, command.Region)
	}
	if err != nil {
		result.Error = err.Error()
	}
	process.Loop.Post(result)
}

// readReport reads the load report of one model server.
func (process *controlProcess) readReport(command shard.ReadReport) {
	result := shard.ReportResult{Server: command.Server, Request: command, ReadResult: retire.ReadResult{StartedAt: process.Loop.Now()}}
	content, err := process.fetch("http://" + command.Address + "/report")
	switch {
	case err == nil && process.adapter != nil:
		result.Report, err = process.adapter.ParseReport(content, command.Server)
	case err == nil:
		result.Report, err = listing.ParseReport(content, command.Server)
	}
	if err != nil {
		result.Error = err.Error()
	}
	process.Loop.Post(result)
}

// sendOrder tells the platform to load or unload a model server. With an adapter there is nothing to tell.
func (process *controlProcess) sendOrder(command shard.Order) {
	result := shard.OrderResult{Server: command.Server, Load: command.Load}
	if process.adapter != nil {
		process.Loop.Post(result)
		return
	}
	verb := "unload"
	if command.Load {
		verb = "load"
	}
	body, err := json.Marshal(map[string]any{"region": process.Settings.Region, "shard": command.Shard, "epoch": command.Epoch})
	if err == nil {
		address := fmt.Sprintf("%s/servers/%s/%s", process.Settings.Platform, url.PathEscape(command.Server), verb)
		var response *http.Response
		response, err = process.client.Post(address, "application/json", io.NopCloser(bytes.NewReader(body)))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				err = eris.Errorf("answered %d", response.StatusCode)
			}
		}
	}
	if err != nil {
		result.Error = err.Error()
	}
	process.Loop.Post(result)
}
