package fleet

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// readBack reads every accepted revision that must still be in the history, and compares it with what its operator sent. The history
// counts back from the newest revision, which may stem from a write whose answer was lost.
func (fleet *Fleet) readBack() {
	live := fleet.MachinesWhere(func(machine *Machine) bool { return machine.Up() && !machine.Control.Frozen })
	if len(live) == 0 {
		return
	}
	revisions := fleet.Ledger.AcceptedRevisions()
	_, newest := fleet.Manifest(live[0])
	for _, revision := range revisions {
		newest = max(newest, revision)
	}
	trees := map[int64]map[string]any{}
	for _, revision := range revisions {
		if revision <= newest-fleet.Bounds.History {
			continue
		}
		answer := fleet.Operate(live[int(revision)%len(live)], contract.OperatorRequest{Verb: contract.VerbGet, Revision: revision})
		version, _ := answer.Body.(contract.Version)
		digest := version.Digest
		if answer.Status != 200 || version.Document().Digest() != digest {
			digest = fmt.Sprintf("status %d", answer.Status)
		}
		fleet.Ledger.ManifestRead(revision, digest, fleet.World.Now)
		if tree, err := manifest.ParseObject(version.Document().JSON()); err == nil && answer.Status == 200 {
			trees[revision] = tree
		}
	}
	for _, record := range fleet.Writes {
		fleet.checkWrite(record, trees)
	}
}

// checkWrite requires that an accepted revision is exactly the previous one, if known, with the operator's change applied.
func (fleet *Fleet) checkWrite(record WriteRecord, trees map[int64]map[string]any) {
	tree, found := trees[record.Result.Revision]
	if !found || record.Status != 200 && record.Status != 202 {
		return
	}
	sent := requestedTree(record.Request)
	expected := mergeTree(tree, sent)
	if previous, hasPrevious := trees[record.Result.Revision-1]; hasPrevious {
		expected = mergeTree(previous, sent)
	}
	if record.Request.Verb == contract.VerbPut {
		expected = sent
	}
	if !reflect.DeepEqual(expected, tree) {
		fleet.Ledger.ManifestAltered(record.Result.Revision, fmt.Sprintf("%s %s %s", record.Request.Verb, record.Request.Subject, record.Request.Body), fleet.World.Now)
	}
}

// requestedTree returns the part of the manifest that a request sets.
func requestedTree(request contract.OperatorRequest) map[string]any {
	under := func(kind, field string, value any) map[string]any {
		return map[string]any{kind: map[string]any{request.Subject: map[string]any{field: value}}}
	}
	switch request.Verb {
	case contract.VerbDrain, contract.VerbUndrain:
		return under("zones", "drained", request.Verb == contract.VerbDrain)
	case contract.VerbScale:
		return under("pools", "scale", json.Number(strings.TrimSpace(string(request.Body))))
	}
	tree, _ := manifest.ParseObject(request.Body)
	return tree
}

// mergeTree applies a change to a tree; the fleet's operators never remove anything.
func mergeTree(base, sent map[string]any) map[string]any {
	merged := map[string]any{}
	for name, value := range base {
		merged[name] = value
	}
	for name, value := range sent {
		child, isObject := value.(map[string]any)
		if previous, wasObject := merged[name].(map[string]any); isObject && wasObject {
			value = mergeTree(previous, child)
		}
		merged[name] = value
	}
	return merged
}
