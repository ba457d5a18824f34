package control

import (
	"fmt"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// newest is the newest version as it is read for writes.
type newest struct {
	contract.Version
	read manifest.Manifest
	// invalid tells why its content is no manifest.
	invalid error
}

func readNewest(latest contract.Version) newest {
	read := newest{Version: latest}
	if read.there() {
		read.read, read.invalid = manifest.FromDocument(latest.Document())
	}
	return read
}

func (newest newest) there() bool { return newest.Position.Revision > 0 }

// readLatest gives the newest version as it is read; a version that this head has just made is not read again.
func (owner *Owner) readLatest(latest contract.Version) newest {
	if owner.newest.Position != latest.Position {
		owner.newest = readNewest(latest)
	}
	return owner.newest
}

// overtaken tells why a change of the gateway's configuration no longer stands on the newest one.
func overtaken(ask contract.OperatorRequest, latest newest) string {
	if ask.Verb != contract.VerbReplace && ask.Verb != contract.VerbUpdate {
		return ""
	}
	if latest.invalid != nil {
		return "the newest manifest cannot be read"
	}
	if current := latest.read.Gateway.Revision; ask.BaseRevision != current {
		return fmt.Sprintf("the gateway's configuration moved: base %d, now %d", ask.BaseRevision, current)
	}
	return ""
}

// forgotten tells whether an order builds on a configuration that is older than all kept versions: then the order may have been taken
// and its version been dropped since.
func (owner *Owner) forgotten(ask contract.OperatorRequest) bool {
	if ask.Verb != contract.VerbReplace && ask.Verb != contract.VerbUpdate {
		return false
	}
	oldest, there := owner.chain.OldestKept()
	if !there || owner.chain.RemembersAllOperations() {
		return false
	}
	return ask.BaseRevision < manifest.GatewayRevision(oldest.Document())
}

// standing gives the newest version when a drain or an undrain asks for what already is so, and wants no version of its own.
func (owner *Owner) standing(ask contract.OperatorRequest) (contract.Version, bool) {
	if !ask.ReplyOnCommit || ask.Verb != contract.VerbDrain && ask.Verb != contract.VerbUndrain {
		return contract.Version{}, false
	}
	latest, fine := owner.chain.Latest()
	if !fine || latest.Position.Revision == 0 || !owner.chain.AcceptsWrites() {
		return contract.Version{}, false
	}
	read := owner.readLatest(latest)
	zone, there := read.read.Zones[ask.Subject]
	return latest, read.invalid == nil && there && zone.Drained == (ask.Verb == contract.VerbDrain)
}
