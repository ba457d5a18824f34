package fleet

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// readBack asks the fleet for every accepted revision that must still be kept (the last ones up to the newest, which an operator who
// got no answer may have written), and compares it with what its operator sent.
func (fleet *Fleet) readBack() {
	live := fleet.Pick(func(machine *Machine) bool { return machine.Up() && !machine.Control.Frozen })
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
	for _, written := range fleet.Writes {
		fleet.judgeWritten(written, trees)
	}
}

// judgeWritten wants in an accepted revision what its operator sent, laid over the revision before where that is known too, and
// nothing else.
func (fleet *Fleet) judgeWritten(written Written, trees map[int64]map[string]any) {
	tree, there := trees[written.Accepted.Revision]
	if !there || written.Status != 200 && written.Status != 202 {
		return
	}
	sent := sentBy(written.Ask)
	want := lay(tree, sent)
	if former, known := trees[written.Accepted.Revision-1]; known {
		want = lay(former, sent)
	}
	if written.Ask.Verb == contract.VerbPut {
		want = sent
	}
	if !reflect.DeepEqual(want, tree) {
		fleet.Ledger.ManifestAltered(written.Accepted.Revision, fmt.Sprintf("%s %s %s", written.Ask.Verb, written.Ask.Subject, written.Ask.Body), fleet.World.Now)
	}
}

func sentBy(ask contract.OperatorRequest) map[string]any {
	under := func(kind, field string, value any) map[string]any {
		return map[string]any{kind: map[string]any{ask.Subject: map[string]any{field: value}}}
	}
	switch ask.Verb {
	case contract.VerbDrain, contract.VerbUndrain:
		return under("zones", "drained", ask.Verb == contract.VerbDrain)
	case contract.VerbScale:
		return under("pools", "scale", json.Number(strings.TrimSpace(string(ask.Body))))
	}
	tree, _ := manifest.ParseObject(ask.Body)
	return tree
}

// lay puts what was sent over what was there; the operators of the fleet take nothing away.
func lay(there, sent map[string]any) map[string]any {
	laid := map[string]any{}
	for name, value := range there {
		laid[name] = value
	}
	for name, value := range sent {
		below, fine := value.(map[string]any)
		if former, both := laid[name].(map[string]any); fine && both {
			value = lay(former, below)
		}
		laid[name] = value
	}
	return laid
}
