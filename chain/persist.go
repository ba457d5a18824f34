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
	Founding *Foundation `json:"founding,omitempty"`
}

// job is one change of the data folder that waits for its turn; after runs once it is synced.
type job struct {
	versions []contract.Version
	record   bool
	past     bool
	drop     []contract.Place
	mark     *contract.Place
	after    func(now time.Duration)
	// writes and removed are how versions and drop are carried out, once the job is under way.
	writes  []Write
	removed []contract.Place
}

// recover takes up what the data folder held. A folder without a member record makes a new member, whose versions are only salvage.
func (owner *Owner) recover(recovered Recovered) {
	newest := map[int64]contract.Version{}
	for _, version := range recovered.Versions {
		if former, there := newest[version.Place.Revision]; !there || former.Place.Before(version.Place) {
			newest[version.Place.Revision] = version
		}
	}
	record := recovered.Member
	if record.ID == "" {
		record = MemberRecord{ID: owner.self.ID}
	}
	owner.self.ID, owner.mayBootstrap = record.ID, record.Bootstrap
	owner.view, owner.promised, owner.accepted = record.View, record.Promised, record.Accepted
	owner.sealed = owner.promised.Round > 0
	if founding := record.Founding; founding != nil && founding.View.Number > owner.view.Number {
		owner.foundAccepted, owner.foundSynced = founding, founding.Ballot
	}
	if owner.view.Number == 0 {
		owner.salvaged = newest
		return
	}
	owner.recoverLog(newest, recovered.Committed)
	owner.remember(recovered.Past)
	owner.pastChanged = false
}

// recoverLog takes up the log of a member of a view. One that was not in the chain keeps only what was committed: nobody counts on the
// rest, and the chain may have gone another way.
func (owner *Owner) recoverLog(newest map[int64]contract.Version, committed contract.Place) {
	if marked, there := newest[committed.Revision]; there && marked.Place == committed {
		owner.committed, owner.marked = committed.Revision, committed
	}
	drop, holder := []contract.Place{}, owner.holder()
	for revision, version := range newest {
		if revision > owner.committed && !holder {
			drop = append(drop, version.Place)
			continue
		}
		owner.keep(version)
		owner.top = max(owner.top, revision)
	}
	owner.assigned = owner.top
	owner.settled = len(owner.view.Chain) == 1 && owner.committed >= owner.top
	owner.queueDrop(drop)
}

// queuePast has the operations whose versions are no longer kept written with the next write, if they changed.
func (owner *Owner) queuePast() {
	if owner.pastChanged {
		owner.pastChanged = false
		owner.jobs = append(owner.jobs, job{past: true})
	}
}

// queueDrop has versions removed from the folder with the next write.
func (owner *Owner) queueDrop(places []contract.Place) {
	if len(places) > 0 {
		owner.jobs = append(owner.jobs, job{drop: places})
	}
}

// holder tells whether this member's log counts: it is in the chain, or has everything that was acknowledged before the chain shrank.
func (owner *Owner) holder() bool {
	return slices.Contains(owner.view.Takers(), owner.self.Identity())
}

// present says once, at the first tick, what was recovered, and has a new member's identity written down before anything else.
func (owner *Owner) present(now time.Duration) {
	owner.presented = true
	if owner.view.Number == 0 {
		owner.persist(now, job{record: true})
		return
	}
	if version, there := owner.versions[owner.committed]; there {
		owner.emit(Committed{Version: version})
	}
	owner.emit(Viewed{View: owner.view})
	owner.startWrite(now)
}

func (owner *Owner) persist(now time.Duration, work job) {
	owner.jobs = append(owner.jobs, work)
	owner.startWrite(now)
}

// startWrite puts every waiting job into one write, so a storm costs one sync a batch.
func (owner *Owner) startWrite(now time.Duration) {
	if owner.writing != nil || len(owner.jobs) == 0 {
		return
	}
	batch := owner.jobs
	owner.jobs = nil
	merged := merge(batch)
	merged.writes, merged.removed = owner.folder.plan(merged.versions, merged.drop)
	owner.token++
	owner.writing, owner.writingSince = &merged, now
	owner.emit(Persist{Token: owner.token, Writes: merged.writes, Member: owner.currentRecord(merged.record), Past: owner.currentPast(merged.past), Drop: merged.removed, Committed: merged.mark})
}

// merge makes one job of several. Since drops are carried out first, a version that a later job drops is not written at all.
func merge(batch []job) job {
	merged := job{after: func(now time.Duration) {
		for _, work := range batch {
			if work.after != nil {
				work.after(now)
			}
		}
	}}
	for _, work := range batch {
		merged.versions = slices.DeleteFunc(merged.versions, func(version contract.Version) bool { return slices.Contains(work.drop, version.Place) })
		merged.versions = append(merged.versions, work.versions...)
		merged.drop = append(merged.drop, work.drop...)
		merged.record = merged.record || work.record
		merged.past = merged.past || work.past
		if work.mark != nil {
			merged.mark = work.mark
		}
	}
	return merged
}

// currentRecord gives the record as it stands now, which may be newer than the job that asked for it: it only moves forward.
func (owner *Owner) currentRecord(wanted bool) *MemberRecord {
	if !wanted {
		return nil
	}
	return &MemberRecord{ID: owner.self.ID, Bootstrap: owner.bootstrap && owner.view.Number == 0, View: owner.view, Promised: owner.promised,
		Accepted: owner.accepted, Founding: owner.foundAccepted}
}

func (owner *Owner) currentPast(wanted bool) *[]contract.PastOperation {
	if !wanted {
		return nil
	}
	past := owner.pastOperations()
	return &past
}

func (owner *Owner) persisted(now time.Duration, event Persisted) {
	if owner.writing == nil || event.Token != owner.token {
		return
	}
	work := owner.writing
	owner.writing = nil
	if event.Failure != "" {
		owner.setFit(false, event.Failure)
		owner.jobs = append([]job{*work}, owner.jobs...)
		owner.emit(contract.Count{Name: "disk_failures", By: 1})
		return
	}
	owner.setFit(true, "")
	owner.folder.done(work.writes, work.drop, work.removed)
	work.after(now)
	owner.startWrite(now)
}

func (owner *Owner) watchDisk(now time.Duration) {
	if owner.writing != nil && now-owner.writingSince > owner.bounds.CommitTimeout()/2 {
		owner.setFit(false, "write stalled")
	}
	if !owner.fit && owner.writing == nil && now-owner.writingSince > owner.bounds.Round() {
		if len(owner.jobs) == 0 {
			owner.jobs = append(owner.jobs, job{record: true})
		}
		owner.startWrite(now)
	}
}

func (owner *Owner) setFit(fit bool, why string) {
	if owner.fit != fit {
		owner.fit = fit
		owner.emit(contract.Say{What: "disk", Detail: []any{"fit", fit, "why", why}})
	}
}
