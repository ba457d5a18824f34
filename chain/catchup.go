package chain

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Resume is sent by a tail that doesn't know whether it has all of its head's log, as after a restart: the head passes its state again.
type ResendRequest struct {
	View int64 `json:"view"`
}

func (owner *Replica) requestResend(now time.Duration) {
	if !owner.IsTail() || owner.IsHead() || owner.synchronized || owner.sealed || now-owner.lastResendRequest < owner.bounds.Round()/2 {
		return
	}
	owner.lastResendRequest = now
	if head, there := owner.view.Head(); there {
		owner.send(head, MessageResendRequest, ResendRequest{View: owner.view.Number})
	}
}

func (owner *Replica) handleResendRequest(resume ResendRequest) {
	if resume.View == owner.view.Number && owner.IsHead() {
		owner.synchronized = false
	}
}

// Fetch asks a member for committed versions from a revision on. Base is a version that the asker holds, if any: the first version comes
// as the change of that.
type CatchUpRequest struct {
	Node contract.CoreNode `json:"node"`
	From int64             `json:"from"`
	Base contract.Position `json:"base"`
}

// History answers a Fetch.
type CatchUpResponse struct {
	Records []contract.Record `json:"records"`
	// Past are the operations from the revision on whose versions are no longer kept.
	PastOperations []contract.PastOperation `json:"past,omitempty"`
	Committed      int64                    `json:"committed"`
}

func (owner *Replica) missing() (int64, int64) {
	count, first := int64(0), int64(0)
	known := max(owner.committed, owner.membership.NewestVersion.Position.Revision)
	for revision := max(1, known-owner.bounds.History+1); revision <= known; revision++ {
		if !owner.knows(revision) || revision > owner.committed {
			count++
			if first == 0 && revision > owner.catchUpCursor {
				first = revision
			}
		}
	}
	return count, first
}

// scrubHistory asks another core machine for the committed versions that are missing here.
func (owner *Replica) requestMissing(now time.Duration) {
	if now < owner.nextCatchUp {
		return
	}
	owner.nextCatchUp = now + owner.bounds.Round()/2
	count, first := owner.missing()
	owner.logCatchUp(now, count)
	if first == 0 {
		owner.catchUpCursor = 0
	}
	if count == 0 || first == 0 || len(owner.view.Chain) == 0 {
		return
	}
	target, there := owner.view.Node(owner.view.Chain[owner.random.IntN(len(owner.view.Chain))])
	if there && target.Identity() != owner.self.Identity() {
		owner.send(target, MessageCatchUpRequest, CatchUpRequest{Node: owner.self, From: first, Base: owner.baseFor(first)})
	}
}

// baseFor gives the newest committed version that is held before a revision, or else the newest of all.
func (owner *Replica) baseFor(revision int64) contract.Position {
	if version, there := owner.versions[owner.previousRevision(revision)]; there && version.Position.Revision <= owner.committed {
		return version.Position
	}
	return owner.versions[owner.committed].Position
}

// tellCatchUp says when this member begins to lack versions and when it lacks none any more.
func (owner *Replica) logCatchUp(now time.Duration, lacks int64) {
	behind := lacks > 0
	if behind == owner.catchingUp {
		return
	}
	owner.catchingUp = behind
	if behind {
		owner.catchUpStarted = now
		owner.emit(contract.Log{Message: "catching up", Attributes: []any{"versions", lacks}})
		return
	}
	owner.emit(contract.Log{Message: "caught up", Attributes: []any{"ms", (now - owner.catchUpStarted).Milliseconds()}})
}

func (owner *Replica) handleCatchUpRequest(fetch CatchUpRequest) {
	versions := []contract.Version{}
	for revision := fetch.From; revision <= owner.committed && len(versions) < catchUpBatchSize; revision++ {
		if version, there := owner.versions[revision]; there {
			versions = append(versions, version)
		}
	}
	base, _ := owner.lookup(fetch.Base)
	past := slices.DeleteFunc(owner.sortedPastOperations(), func(one contract.PastOperation) bool { return one.Position.Revision < fetch.From })
	owner.send(fetch.Node, MessageCatchUpResponse, CatchUpResponse{Records: contract.EncodeRecords(base, versions, contract.MaxRecordBytes), PastOperations: past, Committed: owner.committed})
}

// history takes committed versions. What can't be put together here is asked for whole the next time.
func (owner *Replica) handleCatchUpResponse(now time.Duration, history CatchUpResponse) {
	versions, failure := contract.DecodeRecords(history.Records, owner.lookup)
	if failure != nil {
		owner.emit(contract.AddCounter{Name: "versions_unreadable", Delta: 1})
	}
	fresh := []contract.Version{}
	for _, version := range versions {
		held, there := owner.versions[version.Position.Revision]
		contradicts := there && (held.Position == version.Position || version.Position.Revision <= owner.committed)
		if !contradicts {
			fresh = append(fresh, version)
		}
		owner.catchUpCursor = version.Position.Revision
	}
	if len(versions) == 0 {
		owner.catchUpCursor = 0
	}
	arrived := func(now time.Duration) {
		for _, version := range fresh {
			if _, there := owner.versions[version.Position.Revision]; !there || version.Position.Revision > owner.committed {
				owner.install(version)
			}
			owner.committed = max(owner.committed, version.Position.Revision)
		}
		owner.addPastOperations(history.PastOperations)
		owner.queuePastOperations()
		if count, _ := owner.missing(); count > 0 && len(fresh) > 0 {
			owner.nextCatchUp = now
		}
	}
	if len(fresh) > 0 || len(history.PastOperations) > 0 {
		owner.persist(now, persistJob{versions: fresh, remove: owner.conflictingPositions(fresh), onSynced: arrived})
	}
}

// Base gives a version that is held, for whoever sends others to be read here as the changes of that.
func (owner *Replica) DeltaBase() contract.Position { return owner.versions[owner.committed].Position }

// Lacking gives the first committed revision that is missing here, or nothing.
func (owner *Replica) FirstMissing() int64 {
	cursor := owner.catchUpCursor
	owner.catchUpCursor = 0
	count, first := owner.missing()
	if count > 0 {
		for skip := owner.random.Int64N(count); skip > 0 && first > 0; skip-- {
			owner.catchUpCursor = first
			_, first = owner.missing()
		}
	}
	owner.catchUpCursor = cursor
	if !owner.IsMember() {
		return 0
	}
	return first
}

// CommittedOf gives the committed versions of some revisions, as far as the log has them.
func (owner *Replica) CommittedVersions(revisions []int64) []contract.Version {
	versions := []contract.Version{}
	for _, revision := range revisions {
		if version, there := owner.versions[revision]; there && revision <= owner.committed {
			versions = append(versions, version)
		}
	}
	return versions
}

// Refill takes committed versions that other nodes kept.
func (owner *Replica) Restore(now time.Duration, records []contract.Record) []contract.Command {
	owner.commands = nil
	cursor := owner.catchUpCursor
	owner.handleCatchUpResponse(now, CatchUpResponse{Records: records})
	owner.catchUpCursor = cursor
	out := owner.commands
	owner.commands = nil
	return out
}
