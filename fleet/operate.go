package fleet

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/shard"
)

// Written is an operator's write and the answer it got.
type Written struct {
	Ask      contract.OperatorRequest
	Status   int
	Accepted contract.WriteResult
	At       time.Duration
}

// Operate asks a node and waits in virtual time for the answer.
func (fleet *Fleet) Operate(machine *Machine, ask contract.OperatorRequest) contract.Response {
	var given *contract.Response
	machine.Control.Ask(ask, func(answer contract.Response) { given = &answer })
	fleet.Until(10*time.Second, func() bool { return given != nil })
	if given == nil {
		return contract.Response{Status: 0}
	}
	return *given
}

// Write sends a write and notes its answer when it comes; the ledger judges it from then on.
func (fleet *Fleet) Write(machine *Machine, ask contract.OperatorRequest, then func(Written)) {
	sent := fleet.World.Now
	machine.Control.Ask(ask, func(answer contract.Response) {
		written := Written{Ask: ask, Status: answer.Status, At: fleet.World.Now}
		_ = json.Unmarshal(content(answer.Body), &written.Accepted)
		fleet.Writes = append(fleet.Writes, written)
		if answer.Status == 200 || answer.Status == 202 {
			fleet.accepted(ask, written)
		}
		if ask.Verb == contract.VerbUndrain {
			fleet.Ledger.ZoneUndrained(ask.Subject, sent)
		}
		if then != nil {
			then(written)
		}
	})
}

func (fleet *Fleet) accepted(ask contract.OperatorRequest, written Written) {
	digest := ""
	for _, machine := range fleet.Machines {
		if machine.Control == nil || !machine.Control.Up {
			continue
		}
		if version, there := fleet.held(machine, written.Accepted.Revision); there {
			digest = version.Digest
		}
	}
	fleet.Ledger.ManifestAccepted(written.Accepted.Revision, digest, fleet.World.Now)
	if ask.Verb == contract.VerbUndrain {
		fleet.undrained[ask.Subject] = max(fleet.undrained[ask.Subject], written.Accepted.Revision)
	}
	if ask.Verb == contract.VerbDrain && written.Accepted.Revision > fleet.undrained[ask.Subject] {
		fleet.Ledger.ZoneDrained(ask.Subject, fleet.World.Now)
	}
}

// Do writes and waits for the answer.
func (fleet *Fleet) Do(machine *Machine, ask contract.OperatorRequest) Written {
	var done *Written
	if ask.Operation == "" {
		ask.Operation = fmt.Sprintf("operation-%d", fleet.World.Now)
	}
	if ask.Verb == contract.VerbUndrain {
		fleet.Ledger.ZoneUndrained(ask.Subject, fleet.World.Now)
	}
	fleet.Write(machine, ask, func(written Written) { done = &written })
	fleet.Until(15*time.Second, func() bool { return done != nil })
	if done == nil {
		return Written{Ask: ask}
	}
	return *done
}

// Adopt writes the site's manifest once the core is founded.
func (fleet *Fleet) Adopt() bool {
	for ends := fleet.World.Now + 20*time.Second; fleet.World.Now < ends; {
		written := fleet.Do(fleet.Machines[len(fleet.Machines)-1], contract.OperatorRequest{Verb: contract.VerbPut, HasBaseRevision: true, Body: fleet.Site.Manifest, Operation: "first"})
		if written.Status == 200 {
			return true
		}
		fleet.Run(200 * time.Millisecond)
	}
	return false
}

// Ready starts a fleet and brings it to where it serves.
func (fleet *Fleet) Ready() bool {
	fleet.Start()
	return fleet.Adopt() && fleet.Until(fleet.Bounds.Return(), fleet.Serves)
}

// Serves holds when every live data node can pick from every shard of its region.
func (fleet *Fleet) Serves() bool {
	for _, machine := range fleet.Machines {
		if machine.Up() && (machine.Data.Gauges["shards_lapsed"] > 0 || machine.Data.Gauges["manifest_revision"] == 0) {
			return false
		}
	}
	return true
}

// held looks up an accepted version through the tail, as an operator's read would.
func (fleet *Fleet) held(machine *Machine, revision int64) (contract.Version, bool) {
	owner, fine := machine.Control.owner.(interface {
		Kept(int64) (contract.Version, bool)
	})
	if !fine {
		return contract.Version{}, false
	}
	return owner.Kept(revision)
}

// Manifest is what the newest read through a node gives.
func (fleet *Fleet) Manifest(machine *Machine) (manifest.Manifest, int64) {
	answer := fleet.Operate(machine, contract.OperatorRequest{Verb: contract.VerbGet})
	version, _ := answer.Body.(contract.Version)
	read, _ := manifest.FromDocument(version.Document())
	return read, version.Position.Revision
}

func statuses(body map[string]any) []shard.Status {
	read, _ := body["shards"].([]shard.Status)
	return read
}
