package fleet

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/shard"
)

// WriteRecord is an operator's write and its answer; a zero Status means that no answer came.
type WriteRecord struct {
	Request contract.OperatorRequest
	Status  int
	Result  contract.WriteResult
	At      time.Duration
}

// Operate sends an operator's request to a node and waits up to 10 s of virtual time; without an answer the status is 0.
func (fleet *Fleet) Operate(machine *Machine, request contract.OperatorRequest) contract.Response {
	var response *contract.Response
	machine.Control.Ask(request, func(answer contract.Response) { response = &answer })
	fleet.RunUntil(10*time.Second, func() bool { return response != nil })
	if response == nil {
		return contract.Response{Status: 0}
	}
	return *response
}

// Write sends a write without waiting. The answer goes to the ledger, to Writes and to then, which may be nil.
func (fleet *Fleet) Write(machine *Machine, request contract.OperatorRequest, then func(WriteRecord)) {
	sent := fleet.World.Now
	machine.Control.Ask(request, func(answer contract.Response) {
		written := WriteRecord{Request: request, Status: answer.Status, At: fleet.World.Now}
		_ = json.Unmarshal(mustMarshal(answer.Body), &written.Result)
		fleet.Writes = append(fleet.Writes, written)
		if answer.Status == 200 || answer.Status == 202 {
			fleet.recordAccepted(request, written)
		}
		if request.Verb == contract.VerbUndrain {
			fleet.Ledger.ZoneUndrained(request.Subject, sent)
		}
		if then != nil {
			then(written)
		}
	})
}

// recordAccepted tells the ledger of an accepted write, with the digest as a live node holds it.
func (fleet *Fleet) recordAccepted(request contract.OperatorRequest, written WriteRecord) {
	digest := ""
	for _, machine := range fleet.Machines {
		if machine.Control == nil || !machine.Control.Up {
			continue
		}
		if version, found := fleet.keptVersion(machine, written.Result.Revision); found {
			digest = version.Digest
		}
	}
	fleet.Ledger.ManifestAccepted(written.Result.Revision, digest, fleet.World.Now)
	if request.Verb == contract.VerbUndrain {
		fleet.undrainRevisions[request.Subject] = max(fleet.undrainRevisions[request.Subject], written.Result.Revision)
	}
	if request.Verb == contract.VerbDrain && written.Result.Revision > fleet.undrainRevisions[request.Subject] {
		fleet.Ledger.ZoneDrained(request.Subject, fleet.World.Now)
	}
}

// WriteAndWait sends a write and waits up to 15 s of virtual time for its answer.
func (fleet *Fleet) WriteAndWait(machine *Machine, request contract.OperatorRequest) WriteRecord {
	var result *WriteRecord
	if request.Operation == "" {
		request.Operation = fmt.Sprintf("operation-%d", fleet.World.Now)
	}
	if request.Verb == contract.VerbUndrain {
		fleet.Ledger.ZoneUndrained(request.Subject, fleet.World.Now)
	}
	fleet.Write(machine, request, func(written WriteRecord) { result = &written })
	fleet.RunUntil(15*time.Second, func() bool { return result != nil })
	if result == nil {
		return WriteRecord{Request: request}
	}
	return *result
}

// PutSiteManifest writes the manifest of the site, retrying for 20 s until the core accepts it.
func (fleet *Fleet) PutSiteManifest() bool {
	for deadline := fleet.World.Now + 20*time.Second; fleet.World.Now < deadline; {
		written := fleet.WriteAndWait(fleet.Machines[len(fleet.Machines)-1], contract.OperatorRequest{Verb: contract.VerbPut, HasBaseRevision: true, Body: fleet.Site.Manifest, Operation: "first"})
		if written.Status == 200 {
			return true
		}
		fleet.Run(200 * time.Millisecond)
	}
	return false
}

// StartAndServe starts the fleet, writes the manifest and returns whether the fleet serves within the recovery bound.
func (fleet *Fleet) StartAndServe() bool {
	fleet.Start()
	return fleet.PutSiteManifest() && fleet.RunUntil(fleet.Bounds.Return(), fleet.Serving)
}

// Serving tells whether each live data node has a manifest and a valid lease for every shard of its region.
func (fleet *Fleet) Serving() bool {
	for _, machine := range fleet.Machines {
		if machine.Up() && (machine.Data.Gauges["shards_lapsed"] > 0 || machine.Data.Gauges["manifest_revision"] == 0) {
			return false
		}
	}
	return true
}

// keptVersion returns a revision from the history that a machine's control process keeps.
func (fleet *Fleet) keptVersion(machine *Machine, revision int64) (contract.Version, bool) {
	owner, ok := machine.Control.owner.(interface {
		Kept(int64) (contract.Version, bool)
	})
	if !ok {
		return contract.Version{}, false
	}
	return owner.Kept(revision)
}

// Manifest reads the newest manifest through a node, with its revision.
func (fleet *Fleet) Manifest(machine *Machine) (manifest.Manifest, int64) {
	answer := fleet.Operate(machine, contract.OperatorRequest{Verb: contract.VerbGet})
	version, _ := answer.Body.(contract.Version)
	parsed, _ := manifest.FromDocument(version.Document())
	return parsed, version.Position.Revision
}

// shardStatuses extracts the shards from the answer to a status request.
func shardStatuses(body map[string]any) []shard.Status {
	parsed, _ := body["shards"].([]shard.Status)
	return parsed
}
