package control

import (
	"fmt"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// overtaken tells why a change of the gateway's configuration no longer stands on the newest one.
func (owner *Owner) overtaken(ask contract.Ask, latest contract.Version) string {
	if ask.Verb != contract.VerbReplace && ask.Verb != contract.VerbUpdate {
		return ""
	}
	current := int64(0)
	if latest.Place.Revision > 0 {
		read, failure := manifest.Read(latest.Manifest)
		if failure != nil {
			return "the newest manifest cannot be read"
		}
		current = read.Gateway.Revision
	}
	if ask.Base != current {
		return fmt.Sprintf("the gateway's configuration moved: base %d, now %d", ask.Base, current)
	}
	return ""
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
	hall, there := read.Halls[ask.Subject]
	return latest, failure == nil && there && hall.Drained == (ask.Verb == contract.VerbDrain)
}
