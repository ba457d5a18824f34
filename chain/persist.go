package chain

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// MemberRecord is the durable state of a member. It is synced before a promise, a vote or anything done in a newer view is told to another
// member. It is written as one file, so that a member restarts with all of it or none.
type MemberRecord struct {
	ID        string        `json:"id"`
	Bootstrap bool          `json:"bootstrap,omitempty"`
	View      contract.View `json:"view"`
	Promised  Ballot        `json:"promised"`
	Accepted  *Proposal     `json:"accepted,omitempty"`
	// Bootstrapping is the bootstrap proposal that this member accepted, until it has a view.
	Bootstrapping *BootstrapProposal `json:"founding,omitempty"`
	// BootstrapPromised is the highest ballot for a first view that this member has promised, and Founders are those of its first start. Both hold
	// until it has a view.
	BootstrapPromised Ballot   `json:"foundingPromised,omitzero"`
	Founders          []string `json:"founders,omitempty"`
}

// persistJob is a queued update of the data folder. onSynced is called once it is synced.
type persistJob struct {
	versions   []contract.Version
	record     bool
	past       bool
	remove     []contract.Position
	commitMark *contract.Position
	onSynced   func(now time.Duration)
	// writes and removals are the plan for versions and remove, once the job has been started.
	writes   []Write
	removals []contract.Position
}

// restoreState restores the state from the data folder. A folder without a member record makes a new member; its versions are only salvaged.
func (replica *Replica) restoreState(recovered Recovered) {
	newest := map[int64]contract.Version{}
	for _, version := range recovered.Versions {
		if former, found := newest[version.Position.Revision]; !found || former.Position.Before(version.Position) {
			newest[version.Position.Revision] = version
		}
	}
	record := recovered.Member
	if record.ID == "" {
		record = MemberRecord{ID: replica.self.ID}
	}
	replica.self.ID, replica.recordedMayBootstrap, replica.recordedFounders = record.ID, record.Bootstrap, record.Founders
	replica.view, replica.promised, replica.accepted = record.View, record.Promised, record.Accepted
	replica.sealed = replica.promised.Round > 0
	if attempt := record.Bootstrapping; attempt != nil && attempt.View.Number > replica.view.Number {
		replica.bootstrapAccepted, replica.bootstrapSynced, replica.bootstrapPromised = attempt, attempt.Ballot, attempt.Ballot
	}
	if replica.view.Number == 0 {
		if replica.bootstrapPromised.Before(record.BootstrapPromised) {
			replica.bootstrapPromised = record.BootstrapPromised
		}
		replica.salvaged = newest
		return
	}
	replica.restoreLog(newest, recovered.Committed)
	replica.addPastOperations(recovered.PastOperations)
	replica.pastChanged = false
}

// restoreLog restores the log of a member that has a view. A member outside of the chain keeps only committed versions: the others do not
// count towards any commit, and the chain may have replaced them.
func (replica *Replica) restoreLog(newest map[int64]contract.Version, committed contract.Position) {
	if marked, found := newest[committed.Revision]; found && marked.Position == committed {
		replica.committed, replica.markedCommit = committed.Revision, committed
	}
	removed, holder := []contract.Position{}, replica.isHolder()
	for revision, version := range newest {
		if revision > replica.committed && !holder {
			removed = append(removed, version.Position)
			continue
		}
		replica.put(version)
		replica.lastSynced = max(replica.lastSynced, revision)
	}
	replica.lastAssigned = replica.lastSynced
	replica.synchronized = len(replica.view.Chain) == 1 && replica.committed >= replica.lastSynced
	replica.queueRemoval(removed)
}

// queuePastOperations queues the past operations for the next write if they changed.
func (replica *Replica) queuePastOperations() {
	if replica.pastChanged {
		replica.pastChanged = false
		replica.writeQueue = append(replica.writeQueue, persistJob{past: true})
	}
}

// queueRemoval queues the removal of versions from the folder for the next write.
func (replica *Replica) queueRemoval(places []contract.Position) {
	if len(places) > 0 {
		replica.writeQueue = append(replica.writeQueue, persistJob{remove: places})
	}
}

// isHolder reports whether this member's log counts: it is in the chain, or has every write acknowledged before the chain shrank to one.
func (replica *Replica) isHolder() bool {
	return slices.Contains(replica.view.Proposers(), replica.self.Identity())
}

// announceRecovered emits the recovered view and committed version at the first tick. A new member first records its identity.
func (replica *Replica) announceRecovered(now time.Duration) {
	replica.announced = true
	if replica.view.Number == 0 {
		replica.persist(now, persistJob{record: true})
		return
	}
	if version, found := replica.versions[replica.committed]; found {
		replica.emit(Committed{Version: version})
	}
	replica.emit(ViewInstalled{View: replica.view})
	replica.startWrite(now)
}

func (replica *Replica) persist(now time.Duration, job persistJob) {
	replica.writeQueue = append(replica.writeQueue, job)
	replica.startWrite(now)
}

// startWrite merges all queued jobs into one write, so that many concurrent jobs share one sync.
func (replica *Replica) startWrite(now time.Duration) {
	if replica.writing != nil || len(replica.writeQueue) == 0 {
		return
	}
	batch := replica.writeQueue
	replica.writeQueue = nil
	merged := mergeJobs(batch)
	merged.writes, merged.removals = replica.stored.plan(merged.versions, merged.remove)
	replica.token++
	replica.writing, replica.writingSince = &merged, now
	replica.emit(Persist{Token: replica.token, Writes: merged.writes, Member: replica.currentRecord(merged.record), PastOperations: replica.currentPastOperations(merged.past), Remove: merged.removals, Committed: merged.commitMark})
}

// mergeJobs merges jobs into one. Since removals are carried out first, a version that a later job removes is not written at all.
func mergeJobs(batch []persistJob) persistJob {
	merged := persistJob{onSynced: func(now time.Duration) {
		for _, job := range batch {
			if job.onSynced != nil {
				job.onSynced(now)
			}
		}
	}}
	for _, job := range batch {
		merged.versions = slices.DeleteFunc(merged.versions, func(version contract.Version) bool { return slices.Contains(job.remove, version.Position) })
		merged.versions = append(merged.versions, job.versions...)
		merged.remove = append(merged.remove, job.remove...)
		merged.record = merged.record || job.record
		merged.past = merged.past || job.past
		if job.commitMark != nil {
			merged.commitMark = job.commitMark
		}
	}
	return merged
}

// currentRecord returns the current member record, if wanted. It may be newer than the job that asked for it, since it only moves forward.
func (replica *Replica) currentRecord(wanted bool) *MemberRecord {
	if !wanted {
		return nil
	}
	record := &MemberRecord{ID: replica.self.ID, View: replica.view, Promised: replica.promised, Accepted: replica.accepted, Bootstrapping: replica.bootstrapAccepted}
	if replica.mayBootstrap && replica.view.Number == 0 {
		record.Bootstrap, record.Founders, record.BootstrapPromised = true, replica.founders, replica.bootstrapPromised
	}
	return record
}

// Record returns the record of this member as its folder should hold it.
func (replica *Replica) Record() MemberRecord { return *replica.currentRecord(true) }

func (replica *Replica) currentPastOperations(wanted bool) *[]contract.PastOperation {
	if !wanted {
		return nil
	}
	past := replica.sortedPastOperations()
	return &past
}

// handlePersisted ends the write in progress. After a failure its job is queued again, ahead of the others.
func (replica *Replica) handlePersisted(now time.Duration, event Persisted) {
	if replica.writing == nil || event.Token != replica.token {
		return
	}
	job := replica.writing
	replica.writing = nil
	if event.Error != "" {
		replica.setDiskHealth(false, event.Error)
		replica.writeQueue = append([]persistJob{*job}, replica.writeQueue...)
		replica.emit(contract.AddCounter{Name: "disk_failures", Delta: 1})
		return
	}
	replica.setDiskHealth(true, "")
	replica.stored.apply(job.writes, job.remove, job.removals)
	job.onSynced(now)
	replica.startWrite(now)
}

// watchDisk marks the disk as failing when a write takes too long. While the disk is failing it retries, if need be with the member record.
func (replica *Replica) watchDisk(now time.Duration) {
	if replica.writing != nil && now-replica.writingSince > replica.bounds.CommitTimeout()/2 {
		replica.setDiskHealth(false, "write stalled")
	}
	if !replica.diskHealthy && replica.writing == nil && now-replica.writingSince > replica.bounds.Round() {
		if len(replica.writeQueue) == 0 {
			replica.writeQueue = append(replica.writeQueue, persistJob{record: true})
		}
		replica.startWrite(now)
	}
}

func (replica *Replica) setDiskHealth(fit bool, why string) {
	if replica.diskHealthy != fit {
		replica.diskHealthy = fit
		replica.emit(contract.Log{Message: "disk", Attributes: []any{"fit", fit, "why", why}})
	}
}
