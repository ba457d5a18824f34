package chain

import "github.com/cedarreel/cedarreel/contract"

// operations finds the kept version of an operation by its key. It holds the operations of all kept versions and no others, so it is
// kept and handed over with them: its window is bounds.History versions.
type operations map[string]contract.Place

// Operation gives the kept version that an operation made, whether or not it is committed yet.
func (owner *Owner) Operation(key string) (contract.Version, bool) {
	place, there := owner.operations[key]
	if !there {
		return contract.Version{}, false
	}
	version, there := owner.versions[place.Revision]
	return version, there && version.Place == place
}

// OldestKept gives the oldest version that is kept: what was ordered on top of an older one may have been taken and forgotten.
func (owner *Owner) OldestKept() (contract.Version, bool) {
	version, there := owner.versions[owner.oldest]
	return version, there
}

// keep puts a version into the log.
func (owner *Owner) keep(version contract.Version) {
	revision := version.Place.Revision
	if former, there := owner.versions[revision]; there {
		owner.forget(former)
	}
	owner.versions[revision] = version
	owner.operations[contract.OperationKey(version.Operation)] = version.Place
	if owner.oldest == 0 || revision < owner.oldest {
		owner.oldest = revision
	}
}

// forget takes a version out of the log.
func (owner *Owner) forget(version contract.Version) {
	delete(owner.versions, version.Place.Revision)
	if key := contract.OperationKey(version.Operation); owner.operations[key] == version.Place {
		delete(owner.operations, key)
	}
}

// trim forgets the versions that are older than the window and gives their places. Revisions may have gaps, none larger than the window.
func (owner *Owner) trim() []contract.Place {
	drop := []contract.Place{}
	for ; owner.oldest > 0 && owner.oldest <= owner.committed-owner.bounds.History; owner.oldest++ {
		if version, there := owner.versions[owner.oldest]; there {
			drop = append(drop, version.Place)
			owner.forget(version)
		}
	}
	return drop
}
