package chain

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// MemberRecord is what a member must not forget: it is synced before a promise, a vote or anything done in a newer view is told to
// another member. One file holds it whole, so that a member comes back with all of it or with none.
type MemberRecord struct {
	ID        string        `json:"id"`
	Bootstrap bool          `json:"bootstrap,omitempty"`
	View      contract.View `json:"view"`
	Promised  Ballot        `json:"promised"`
	Accepted  *Proposal     `json:"accepted,omitempty"`
	// Founding is the first view that this member agreed to, until it has a view.
	Bootstrapping *BootstrapProposal `json:"founding,omitempty"`
}

// job is one change of the data folder that waits for its turn; after runs once it is synced.
type persistJob struct {
	versions   []contract.Version
	record     bool
	past       bool
	remove     []contract.Position
	commitMark *contract.Position
	onSynced   func(now time.Duration)
	// writes and removed are how versions and drop are carried out, once the job is under way.
	writes   []Write
	removals []contract.Position
}

// recover takes up what the data folder held. A folder without a member record makes a new member, whose versions are only salvage.
func (owner *Replica) restoreState(recovered Recovered) {
	newest := map[int64]contract.Version{}
	for _, version := range recovered.Versions {
		if former, there := newest[version.Position.Revision]; !there || former.Position.Before(version.Position) {
			newest[version.Position.Revision] = version
		}
	}
	record := recovered.Member
	if record.ID == "" {
		record = MemberRecord{ID: owner.self.ID}
	}
	owner.self.ID, owner.recordedMayBootstrap = record.ID, record.Bootstrap
	owner.view, owner.promised, owner.accepted = record.View, record.Promised, record.Accepted
	owner.sealed = owner.promised.Round > 0
	if founding := record.Bootstrapping; founding != nil && founding.View.Number > owner.view.Number {
		owner.bootstrapAccepted, owner.bootstrapSynced = founding, founding.Ballot
	}
	if owner.view.Number == 0 {
		owner.salvaged = newest
		return
	}
	owner.restoreLog(newest, recovered.Committed)
	owner.addPastOperations(recovered.PastOperations)
	owner.pastChanged = false
}

// recoverLog takes up the log of a member of a view. One that was not in the chain keeps only what was committed: nobody counts on the
// rest, and the chain may have gone another way.
func (owner *Replica) restoreLog(newest map[int64]contract.Version, committed contract.Position) {
	if marked, there := newest[committed.Revision]; there && marked.Position == committed {
		owner.committed, owner.markedCommit = committed.Revision, committed
	}
	drop, holder := []contract.Position{}, owner.isHolder()
	for revision, version := range newest {
		if revision > owner.committed && !holder {
			drop = append(drop, version.Position)
			continue
		}
		owner.put(version)
		owner.lastSynced = max(owner.lastSynced, revision)
	}
	owner.lastAssigned = owner.lastSynced
	owner.synchronized = len(owner.view.Chain) == 1 && owner.committed >= owner.lastSynced
	owner.queueRemoval(drop)
}

// queuePast has the operations whose versions are no longer kept written with the next write, if they changed.
func (owner *Replica) queuePastOperations() {
	if owner.pastChanged {
		owner.pastChanged = false
		owner.writeQueue = append(owner.writeQueue, persistJob{past: true})
	}
}

// queueDrop has versions removed from the folder with the next write.
func (owner *Replica) queueRemoval(places []contract.Position) {
	if len(places) > 0 {
		owner.writeQueue = append(owner.writeQueue, persistJob{remove: places})
	}
}

// holder tells whether this member's log counts: it is in the chain, or has everything that was acknowledged before the chain shrank.
func (owner *Replica) isHolder() bool {
	return slices.Contains(owner.view.Proposers(), owner.self.Identity())
}

// present says once, at the first tick, what was recovered, and has a new member's identity written down before anything else.
func (owner *Replica) announceRecovered(now time.Duration) {
	owner.announced = true
	if owner.view.Number == 0 {
		owner.persist(now, persistJob{record: true})
		return
	}
	if version, there := owner.versions[owner.committed]; there {
		owner.emit(Committed{Version: version})
	}
	owner.emit(ViewInstalled{View: owner.view})
	owner.startWrite(now)
}

func (owner *Replica) persist(now time.Duration, work persistJob) {
	owner.writeQueue = append(owner.writeQueue, work)
	owner.startWrite(now)
}

// startWrite puts every waiting job into one write, so a storm costs one sync a batch.
func (owner *Replica) startWrite(now time.Duration) {
	if owner.writing != nil || len(owner.writeQueue) == 0 {
		return
	}
	batch := owner.writeQueue
	owner.writeQueue = nil
	merged := mergeJobs(batch)
	merged.writes, merged.removals = owner.stored.plan(merged.versions, merged.remove)
	owner.token++
	owner.writing, owner.writingSince = &merged, now
	owner.emit(Persist{Token: owner.token, Writes: merged.writes, Member: owner.currentRecord(merged.record), PastOperations: owner.currentPastOperations(merged.past), Remove: merged.removals, Committed: merged.commitMark})
}

// merge makes one job of several. Since drops are carried out first, a version that a later job drops is not written at all.
func mergeJobs(batch []persistJob) persistJob {
	merged := persistJob{onSynced: func(now time.Duration) {
		for _, work := range batch {
			if work.onSynced != nil {
				work.onSynced(now)
			}
		}
	}}
	for _, work := range batch {
		merged.versions = slices.DeleteFunc(merged.versions, func(version contract.Version) bool { return slices.Contains(work.remove, version.Position) })
		merged.versions = append(merged.versions, work.versions...)
		merged.remove = append(merged.remove, work.remove...)
		merged.record = merged.record || work.record
		merged.past = merged.past || work.past
		if work.commitMark != nil {
			merged.commitMark = work.commitMark
		}
	}
	return merged
}

// currentRecord gives the record as it stands now, which may be newer than the job that asked for it: it only moves forward.
func (owner *Replica) currentRecord(wanted bool) *MemberRecord {
	if !wanted {
		return nil
	}
	return &MemberRecord{ID: owner.self.ID, Bootstrap: owner.mayBootstrap && owner.view.Number == 0, View: owner.view, Promised: owner.promised,
		Accepted: owner.accepted, Bootstrapping: owner.bootstrapAccepted}
}

func (owner *Replica) currentPastOperations(wanted bool) *[]contract.PastOperation {
	if !wanted {
		return nil
	}
	past := owner.sortedPastOperations()
	return &past
}

func (owner *Replica) handlePersisted(now time.Duration, event Persisted) {
	if owner.writing == nil || event.Token != owner.token {
		return
	}
	work := owner.writing
	owner.writing = nil
	if event.Error != "" {
		owner.setDiskHealth(false, event.Error)
		owner.writeQueue = append([]persistJob{*work}, owner.writeQueue...)
		owner.emit(contract.AddCounter{Name: "disk_failures", Delta: 1})
		return
	}
	owner.setDiskHealth(true, "")
	owner.stored.apply(work.writes, work.remove, work.removals)
	work.onSynced(now)
	owner.startWrite(now)
}

func (owner *Replica) watchDisk(now time.Duration) {
	if owner.writing != nil && now-owner.writingSince > owner.bounds.CommitTimeout()/2 {
		owner.setDiskHealth(false, "write stalled")
	}
	if !owner.diskHealthy && owner.writing == nil && now-owner.writingSince > owner.bounds.Round() {
		if len(owner.writeQueue) == 0 {
			owner.writeQueue = append(owner.writeQueue, persistJob{record: true})
		}
		owner.startWrite(now)
	}
}

func (owner *Replica) setDiskHealth(fit bool, why string) {
	if owner.diskHealthy != fit {
		owner.diskHealthy = fit
		owner.emit(contract.Log{Message: "disk", Attributes: []any{"fit", fit, "why", why}})
	}
}
