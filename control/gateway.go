package control

import (
	"fmt"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// newest is the newest version as it is read for writes.
type parsedVersion struct {
	contract.Version
	manifest manifest.Manifest
	// invalid tells why its content is no manifest.
	invalid error
}

func parseVersion(latest contract.Version) parsedVersion {
	parsed := parsedVersion{Version: latest}
	if parsed.exists() {
		parsed.manifest, parsed.invalid = manifest.FromDocument(latest.Document())
	}
	return parsed
}

func (newest parsedVersion) exists() bool { return newest.Position.Revision > 0 }

// readLatest gives the newest version as it is read; a version that this head has just made is not read again.
func (controller *Controller) parseLatest(latest contract.Version) parsedVersion {
	if controller.latest.Position != latest.Position {
		controller.latest = parseVersion(latest)
	}
	return controller.latest
}

// overtaken tells why a change of the gateway's configuration no longer stands on the newest one.
func staleBase(request contract.OperatorRequest, latest parsedVersion) string {
	if request.Verb != contract.VerbReplace && request.Verb != contract.VerbUpdate {
		return ""
	}
	if latest.invalid != nil {
		return "the newest manifest cannot be read"
	}
	if current := latest.manifest.Gateway.Revision; request.BaseRevision != current {
		return fmt.Sprintf("the gateway's configuration moved: base %d, now %d", request.BaseRevision, current)
	}
	return ""
}

// forgotten tells whether an order builds on a configuration that is older than all kept versions: then the order may have been taken
// and its version been dropped since.
func (controller *Controller) baseForgotten(request contract.OperatorRequest) bool {
	if request.Verb != contract.VerbReplace && request.Verb != contract.VerbUpdate {
		return false
	}
	oldest, found := controller.chain.OldestKept()
	if !found || controller.chain.RemembersAllOperations() {
		return false
	}
	return request.BaseRevision < manifest.GatewayRevision(oldest.Document())
}

// standing gives the newest version when a drain or an undrain asks for what already is so, and wants no version of its own.
func (controller *Controller) alreadyInEffect(request contract.OperatorRequest) (contract.Version, bool) {
	if !request.ReplyOnCommit || request.Verb != contract.VerbDrain && request.Verb != contract.VerbUndrain {
		return contract.Version{}, false
	}
	latest, ok := controller.chain.Latest()
	if !ok || latest.Position.Revision == 0 || !controller.chain.AcceptsWrites() {
		return contract.Version{}, false
	}
	parsed := controller.parseLatest(latest)
	zone, found := parsed.manifest.Zones[request.Subject]
	return latest, parsed.invalid == nil && found && zone.Drained == (request.Verb == contract.VerbDrain)
}
