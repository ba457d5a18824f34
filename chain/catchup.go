package chain

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// ResendRequest is sent by a tail that does not know whether it has all of its head's log, as after a restart. The head then sends its state
// again.
type ResendRequest struct {
	View int64 `json:"view"`
}

func (replica *Replica) requestResend(now time.Duration) {
	if !replica.IsTail() || replica.IsHead() || replica.synchronized || replica.sealed || now-replica.lastResendRequest < replica.bounds.Round()/2 {
		return
	}
	replica.lastResendRequest = now
	if head, found := replica.view.Head(); found {
		replica.send(head, MessageResendRequest, ResendRequest{View: replica.view.Number})
	}
}

func (replica *Replica) handleResendRequest(request ResendRequest) {
	if request.View == replica.view.Number && replica.IsHead() {
		replica.synchronized = false
	}
}

// CatchUpRequest asks a member for committed versions from a revision on. Base is the position of a version that Node holds, or zero; the
// first record is relative to it.
type CatchUpRequest struct {
	Node contract.CoreNode `json:"node"`
	From int64             `json:"from"`
	Base contract.Position `json:"base"`
}

// CatchUpResponse answers a CatchUpRequest.
type CatchUpResponse struct {
	Records []contract.Record `json:"records"`
	// PastOperations are the operations from the requested revision on whose versions are no longer kept.
	PastOperations []contract.PastOperation `json:"past,omitempty"`
	Committed      int64                    `json:"committed"`
}

// missing returns the number of committed revisions in the window that this log lacks, and the first one after the cursor, or 0.
func (replica *Replica) missing() (int64, int64) {
	count, first := int64(0), int64(0)
	newest := max(replica.committed, replica.membership.NewestVersion.Position.Revision)
	for revision := max(1, newest-replica.bounds.History+1); revision <= newest; revision++ {
		if !replica.knows(revision) || revision > replica.committed {
			count++
			if first == 0 && revision > replica.catchUpCursor {
				first = revision
			}
		}
	}
	return count, first
}

// requestMissing asks a random member of the chain for committed versions that are missing here.
func (replica *Replica) requestMissing(now time.Duration) {
	if now < replica.nextCatchUp {
		return
	}
	replica.nextCatchUp = now + replica.bounds.Round()/2
	count, first := replica.missing()
	replica.logCatchUp(now, count)
	if first == 0 {
		replica.catchUpCursor = 0
	}
	if count == 0 || first == 0 || len(replica.view.Chain) == 0 {
		return
	}
	target, found := replica.view.Node(replica.view.Chain[replica.random.IntN(len(replica.view.Chain))])
	if found && target.Identity() != replica.self.Identity() {
		replica.send(target, MessageCatchUpRequest, CatchUpRequest{Node: replica.self, From: first, Base: replica.baseFor(first)})
	}
}

// baseFor returns the position of the newest committed version before a revision, or else of the newest committed version.
func (replica *Replica) baseFor(revision int64) contract.Position {
	if version, found := replica.versions[replica.previousRevision(revision)]; found && version.Position.Revision <= replica.committed {
		return version.Position
	}
	return replica.versions[replica.committed].Position
}

// logCatchUp logs when this member begins to lack versions and when it has them all again.
func (replica *Replica) logCatchUp(now time.Duration, lacks int64) {
	behind := lacks > 0
	if behind == replica.catchingUp {
		return
	}
	replica.catchingUp = behind
	if behind {
		replica.catchUpStarted = now
		replica.emit(contract.Log{Message: "catching up", Attributes: []any{"versions", lacks}})
		return
	}
	replica.emit(contract.Log{Message: "caught up", Attributes: []any{"ms", (now - replica.catchUpStarted).Milliseconds()}})
}

func (replica *Replica) handleCatchUpRequest(request CatchUpRequest) {
	versions := []contract.Version{}
	for revision := request.From; revision <= replica.committed && len(versions) < catchUpBatchSize; revision++ {
		if version, found := replica.versions[revision]; found {
			versions = append(versions, version)
		}
	}
	base, _ := replica.lookup(request.Base)
	past := slices.DeleteFunc(replica.sortedPastOperations(), func(operation contract.PastOperation) bool { return operation.Position.Revision < request.From })
	replica.send(request.Node, MessageCatchUpResponse, CatchUpResponse{Records: contract.EncodeRecords(base, versions, contract.MaxRecordBytes), PastOperations: past, Committed: replica.committed})
}

// handleCatchUpResponse adds committed versions to the log. A record that cannot be decoded is requested again, in full.
func (replica *Replica) handleCatchUpResponse(now time.Duration, response CatchUpResponse) {
	versions, err := contract.DecodeRecords(response.Records, replica.lookup)
	if err != nil {
		replica.emit(contract.AddCounter{Name: "versions_unreadable", Delta: 1})
	}
	added := []contract.Version{}
	for _, version := range versions {
		existing, found := replica.versions[version.Position.Revision]
		contradicts := found && (existing.Position == version.Position || version.Position.Revision <= replica.committed)
		if !contradicts {
			added = append(added, version)
		}
		replica.catchUpCursor = version.Position.Revision
	}
	if len(versions) == 0 {
		replica.catchUpCursor = 0
	}
	onSynced := func(now time.Duration) {
		for _, version := range added {
			if _, found := replica.versions[version.Position.Revision]; !found || version.Position.Revision > replica.committed {
				replica.install(version)
			}
			replica.committed = max(replica.committed, version.Position.Revision)
		}
		replica.addPastOperations(response.PastOperations)
		replica.queuePastOperations()
		if count, _ := replica.missing(); count > 0 && len(added) > 0 {
			replica.nextCatchUp = now
		}
	}
	if len(added) > 0 || len(response.PastOperations) > 0 {
		replica.persist(now, persistJob{versions: added, remove: replica.conflictingPositions(added), onSynced: onSynced})
	}
}

// DeltaBase returns the position of a version that this member holds. Another node can send it records relative to that version.
func (replica *Replica) DeltaBase() contract.Position {
	return replica.versions[replica.committed].Position
}

// FirstMissing returns a committed revision that is missing here, or 0. It picks one at random, so that members do not all ask for the same.
func (replica *Replica) FirstMissing() int64 {
	cursor := replica.catchUpCursor
	replica.catchUpCursor = 0
	count, first := replica.missing()
	if count > 0 {
		for skip := replica.random.Int64N(count); skip > 0 && first > 0; skip-- {
			replica.catchUpCursor = first
			_, first = replica.missing()
		}
	}
	replica.catchUpCursor = cursor
	if !replica.IsMember() {
		return 0
	}
	return first
}

// CommittedVersions returns the committed versions of the given revisions that the log still has.
func (replica *Replica) CommittedVersions(revisions []int64) []contract.Version {
	versions := []contract.Version{}
	for _, revision := range revisions {
		if version, found := replica.versions[revision]; found && revision <= replica.committed {
			versions = append(versions, version)
		}
	}
	return versions
}

// Restore adds committed versions that nodes outside of the core kept.
func (replica *Replica) Restore(now time.Duration, records []contract.Record) []contract.Command {
	replica.commands = nil
	cursor := replica.catchUpCursor
	replica.handleCatchUpResponse(now, CatchUpResponse{Records: records})
	replica.catchUpCursor = cursor
	out := replica.commands
	replica.commands = nil
	return out
}
