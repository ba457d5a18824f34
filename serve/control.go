package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/control"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/image"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/link"
	"github.com/cedarreel/cedarreel/listing"
	"github.com/cedarreel/cedarreel/retire"
	"github.com/cedarreel/cedarreel/shard"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/rotisserie/eris"
)

const (
	readersAtOnce = 64
	diskRing      = 16
)

type controlShell struct {
	*Process
	files   image.Files
	disk    chan chain.Persist
	readers chan struct{}
	client  *http.Client
	face    Face
}

// Control runs a cedarcp until it is told to stop.
func Control(settings env.Env, faultsPath string) error { return runControl(settings, faultsPath, nil) }

// ControlWith runs a cedarcp that speaks in a face's manner too.
func ControlWith(face Face) error {
	settings, failure := face.Settings(contract.KindControl)
	if failure != nil {
		return failure
	}
	return runControl(settings, "", face)
}

func runControl(settings env.Env, faultsPath string, face Face) error {
	name := boot()
	var recovered *chain.Recovered
	shell := &controlShell{face: face, disk: make(chan chain.Persist, diskRing), readers: make(chan struct{}, readersAtOnce)}
	if settings.Folder != "" {
		folder, err := image.Open(settings.Folder)
		if err != nil {
			return err
		}
		loaded, err := image.Load(folder)
		if err != nil {
			return err
		}
		recovered, shell.files = &loaded, folder
	}
	owner := control.New(settings, name, recovered, source())
	shell.Process = newProcess(settings, owner.Self(), owner, faultsPath)
	if recovered != nil {
		snapshot, damaged := image.LoadIndex(shell.files)
		owner.Restore(snapshot)
		shell.Loop.Count("index_snapshots_damaged", int64(damaged))
		shell.Loop.Count("index_places_restored", int64(len(snapshot.Places)))
		shell.files = link.FaultyDisk(shell.files, shell.Faults)
		for _, err := range recovered.Damaged {
			_ = shell.Logger.Log("what", "image put aside", "error", err)
		}
	}
	shell.client = &http.Client{Timeout: settings.Bounds.PlatformPoll(), CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	shell.Loop.SetExecutor(shell.act)
	go shell.write()
	if face != nil {
		shell.Reread = func() (env.Env, error) { return face.Settings(contract.KindControl) }
		for _, order := range face.Orders() {
			shell.Mux.HandleFunc(order.Pattern, shell.operate(order))
		}
	}
	return shell.run(settings.Control, func() {
		shell.Loop.Post(control.Leave{})
		settle(settings.Bounds.GossipInterval())
	})
}

func (shell *controlShell) act(command contract.Command) bool {
	switch command := command.(type) {
	case chain.Persist:
		shell.disk <- command
	case index.Persist:
		go shell.writeIndex(command)
	case shard.ReadPlatform:
		shell.read(func() { shell.readPlatform(command) }, shard.ListingResult{Error: "too many reads at once"})
	case shard.ReadReport:
		shell.read(func() { shell.readReport(command) }, shard.ReportResult{Server: command.Server, Request: command, ReadResult: retire.ReadResult{Error: "too many reads at once"}})
	case shard.Order:
		shell.read(func() { shell.order(command) }, shard.OrderResult{Server: command.Server, Load: command.Load, Error: "too many reads at once"})
	case contract.Forward:
		go shell.forward.Forward(command)
	default:
		return false
	}
	return true
}

func (shell *controlShell) write() {
	for {
		select {
		case <-shell.stop:
			return
		case work := <-shell.disk:
			persisted := chain.Persisted{Token: work.Token}
			if err := image.Save(shell.files, work); err != nil {
				persisted.Error = err.Error()
			}
			shell.Loop.Post(persisted)
		}
	}
}

// writeIndex has a goroutine of its own, one at a time: a stalled disk leaves the index unsaved and nothing waits for it.
func (shell *controlShell) writeIndex(work index.Persist) {
	persisted := index.Persisted{}
	if failure := image.SaveIndex(shell.files, work.Snapshot); failure != nil {
		persisted.Error = failure.Error()
	}
	shell.Loop.Post(persisted)
}

func (shell *controlShell) read(work func(), full contract.Event) {
	select {
	case shell.readers <- struct{}{}:
		go func() {
			defer func() { <-shell.readers }()
			work()
		}()
	default:
		shell.Loop.TryPost(full)
	}
}

func (shell *controlShell) get(address string) ([]byte, error) {
	bound := shell.Settings.Bounds.ReportBytes
	encode := func(context.Context, any) (*http.Request, error) {
		return http.NewRequest(http.MethodGet, address, nil)
	}
	decode := func(_ context.Context, response *http.Response) (any, error) {
		if response.StatusCode != http.StatusOK {
			return nil, eris.Errorf("answered %d", response.StatusCode)
		}
		content, err := io.ReadAll(io.LimitReader(response.Body, bound+1))
		if err == nil && int64(len(content)) > bound {
			err = eris.Errorf("larger than %d bytes", bound)
		}
		return content, err
	}
	content, err := kithttp.NewExplicitClient(encode, decode, kithttp.SetClient(shell.client)).Endpoint()(context.Background(), nil)
	if err != nil {
		return nil, err
	}
	return content.([]byte), nil
}

func (shell *controlShell) readPlatform(command shard.ReadPlatform) {
	read := shard.ListingResult{Began: shell.Loop.Now()}
	var content []byte
	var err error
	if shell.face != nil {
		read.Listing, err = shell.face.Listing(shell.Settings, shell.get)
	} else if content, err = shell.get(shell.Settings.Platform + "/servers?region=" + url.QueryEscape(command.Region)); err == nil {
		read.Listing, err = listing.ReadListing(content, command.Region)
	}
	if err != nil {
		read.Error = err.Error()
	}
	shell.Loop.Post(read)
}

func (shell *controlShell) readReport(command shard.ReadReport) {
	read := shard.ReportResult{Server: command.Server, Request: command, ReadResult: retire.ReadResult{StartedAt: shell.Loop.Now()}}
	content, err := shell.get("http://" + command.Address + "/report")
	switch {
	case err == nil && shell.face != nil:
		read.Report, err = shell.face.Report(content, command.Server)
	case err == nil:
		read.Report, err = listing.ReadReport(content, command.Server)
	}
	if err != nil {
		read.Error = err.Error()
	}
	shell.Loop.Post(read)
}

func (shell *controlShell) order(command shard.Order) {
	ordered := shard.OrderResult{Server: command.Server, Load: command.Load}
	if shell.face != nil {
		shell.Loop.Post(ordered)
		return
	}
	verb := "unload"
	if command.Load {
		verb = "load"
	}
	body, err := json.Marshal(map[string]any{"region": shell.Settings.Region, "shard": command.Shard, "epoch": command.Epoch})
	if err == nil {
		address := fmt.Sprintf("%s/servers/%s/%s", shell.Settings.Platform, url.PathEscape(command.Server), verb)
		var response *http.Response
		response, err = shell.client.Post(address, "application/json", io.NopCloser(bytes.NewReader(body)))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				err = eris.Errorf("answered %d", response.StatusCode)
			}
		}
	}
	if err != nil {
		ordered.Error = err.Error()
	}
	shell.Loop.Post(ordered)
}
