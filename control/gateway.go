package control

import (
	"fmt"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// parsedVersion is a version together with its parsed manifest.
type parsedVersion struct {
	contract.Version
	manifest manifest.Manifest
	// invalid is the error if the content is not a valid manifest.
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

// parseLatest returns the parsed latest version. A version that this head has just created is not parsed again.
func (controller *Controller) parseLatest(latest contract.Version) parsedVersion {
	if controller.latest.Position != latest.Position {
		controller.latest = parseVersion(latest)
	}
	return controller.latest
}

// staleBase returns why a write of the gateway's configuration is not based on the current one, or an empty string if it is.
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

// baseForgotten reports whether a write is based on a configuration older than all kept versions. The write may then have been accepted before
// and its version removed since.
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

// alreadyInEffect returns the latest version if a drain or undrain asks for what that version already says and so needs no new version.
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
