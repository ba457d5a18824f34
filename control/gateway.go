package control

import (
	"fmt"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// newest is the newest version as it is read once for a write.
type newest struct {
	there bool
	tree  map[string]any
	read  manifest.Manifest
	// malformed tells why it is no tree at all, invalid why its tree is no manifest.
	malformed, invalid error
}

func readNewest(latest contract.Version) newest {
	if latest.Place.Revision <= 0 {
		return newest{}
	}
	read := newest{there: true}
	if read.tree, read.malformed = manifest.Tree(latest.Manifest); read.malformed == nil {
		read.read, read.invalid = manifest.FromTree(read.tree)
	}
	return read
}

// overtaken tells why a change of the gateway's configuration no longer stands on the newest one.
func overtaken(ask contract.Ask, latest newest) string {
	if ask.Verb != contract.VerbReplace && ask.Verb != contract.VerbUpdate {
		return ""
	}
	if latest.malformed != nil || latest.invalid != nil {
		return "the newest manifest cannot be read"
	}
	if current := latest.read.Gateway.Revision; ask.Base != current {
		return fmt.Sprintf("the gateway's configuration moved: base %d, now %d", ask.Base, current)
	}
	return ""
}

// forgotten tells whether an order builds on a configuration that is older than all kept versions: then the order may have been taken
// and its version been dropped since.
func (owner *Owner) forgotten(ask contract.Ask) bool {
	if ask.Verb != contract.VerbReplace && ask.Verb != contract.VerbUpdate {
		return false
	}
	oldest, there := owner.chain.OldestKept()
	if !there || owner.chain.Committed()-oldest.Place.Revision < owner.Bounds.History-1 {
		return false
	}
	read := readNewest(oldest)
	return read.malformed == nil && read.invalid == nil && ask.Base < read.read.Gateway.Revision
}

// standing gives the newest version when a drain or an undrain asks for what already is so, and wants no version of its own.
func (owner *Owner) standing(ask contract.Ask) (contract.Version, bool) {
	if !ask.Prompt || ask.Verb != contract.VerbDrain && ask.Verb != contract.VerbUndrain {
		return contract.Version{}, false
	}
	latest, fine := owner.chain.Latest()
	if !fine || latest.Place.Revision == 0 || !owner.chain.Open() {
		return contract.Version{}, false
	}
	read, failure := manifest.Read(latest.Manifest)
	zone, there := read.Zones[ask.Subject]
	return latest, failure == nil && there && zone.Drained == (ask.Verb == contract.VerbDrain)
}
