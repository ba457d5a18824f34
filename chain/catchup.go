package chain

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Resume is sent by a tail that doesn't know whether it has all of its head's log, as after a restart: the head passes its state again.
type Resume struct {
	View int64 `json:"view"`
}

func (owner *Owner) askResume(now time.Duration) {
	if !owner.IsTail() || owner.IsHead() || owner.settled || owner.sealed || now-owner.resumed < owner.bounds.Round()/2 {
		return
	}
	owner.resumed = now
	if head, there := owner.view.Head(); there {
		owner.send(head, MessageResume, Resume{View: owner.view.Number})
	}
}

func (owner *Owner) resume(resume Resume) {
	if resume.View == owner.view.Number && owner.IsHead() {
		owner.settled = false
	}
}

// Fetch asks a member for committed versions from a revision on. Base is a version that the asker holds, if any: the first version comes
// as the change of that.
type Fetch struct {
	Node contract.CoreNode `json:"node"`
	From int64             `json:"from"`
	Base contract.Position `json:"base"`
}

// History answers a Fetch.
type History struct {
	Records []contract.Record `json:"records"`
	// Past are the operations from the revision on whose versions are no longer kept.
	Past      []contract.PastOperation `json:"past,omitempty"`
	Committed int64                    `json:"committed"`
}

func (owner *Owner) lacks() (int64, int64) {
	count, first := int64(0), int64(0)
	known := max(owner.committed, owner.seen.Held.Position.Revision)
	for revision := max(1, known-owner.bounds.History+1); revision <= known; revision++ {
		if !owner.knows(revision) || revision > owner.committed {
			count++
			if first == 0 && revision > owner.cursor {
				first = revision
			}
		}
	}
	return count, first
}

// scrubHistory asks another core machine for the committed versions that are missing here.
func (owner *Owner) scrubHistory(now time.Duration) {
	if now < owner.scrub {
		return
	}
	owner.scrub = now + owner.bounds.Round()/2
	count, first := owner.lacks()
	owner.tellCatchUp(now, count)
	if first == 0 {
		owner.cursor = 0
	}
	if count == 0 || first == 0 || len(owner.view.Chain) == 0 {
		return
	}
	target, there := owner.view.Node(owner.view.Chain[owner.random.IntN(len(owner.view.Chain))])
	if there && target.Identity() != owner.self.Identity() {
		owner.send(target, MessageFetch, Fetch{Node: owner.self, From: first, Base: owner.baseFor(first)})
	}
}

// baseFor gives the newest committed version that is held before a revision, or else the newest of all.
func (owner *Owner) baseFor(revision int64) contract.Position {
	if version, there := owner.versions[owner.before(revision)]; there && version.Position.Revision <= owner.committed {
		return version.Position
	}
	return owner.versions[owner.committed].Position
}

// tellCatchUp says when this member begins to lack versions and when it lacks none any more.
func (owner *Owner) tellCatchUp(now time.Duration, lacks int64) {
	behind := lacks > 0
	if behind == owner.behind {
		return
	}
	owner.behind = behind
	if behind {
		owner.behindSince = now
		owner.emit(contract.Log{Message: "catching up", Attributes: []any{"versions", lacks}})
		return
	}
	owner.emit(contract.Log{Message: "caught up", Attributes: []any{"ms", (now - owner.behindSince).Milliseconds()}})
}

func (owner *Owner) fetch(fetch Fetch) {
	versions := []contract.Version{}
	for revision := fetch.From; revision <= owner.committed && len(versions) < fetchSize; revision++ {
		if version, there := owner.versions[revision]; there {
			versions = append(versions, version)
		}
	}
	base, _ := owner.at(fetch.Base)
	past := slices.DeleteFunc(owner.pastOperations(), func(one contract.PastOperation) bool { return one.Position.Revision < fetch.From })
	owner.send(fetch.Node, MessageHistory, History{Records: contract.EncodeRecords(base, versions, contract.MaxRecordBytes), Past: past, Committed: owner.committed})
}

// history takes committed versions. What can't be put together here is asked for whole the next time.
func (owner *Owner) history(now time.Duration, history History) {
	versions, failure := contract.DecodeRecords(history.Records, owner.at)
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
		owner.cursor = version.Position.Revision
	}
	if len(versions) == 0 {
		owner.cursor = 0
	}
	arrived := func(now time.Duration) {
		for _, version := range fresh {
			if _, there := owner.versions[version.Position.Revision]; !there || version.Position.Revision > owner.committed {
				owner.install(version)
			}
			owner.committed = max(owner.committed, version.Position.Revision)
		}
		owner.remember(history.Past)
		owner.queuePast()
		if count, _ := owner.lacks(); count > 0 && len(fresh) > 0 {
			owner.scrub = now
		}
	}
	if len(fresh) > 0 || len(history.Past) > 0 {
		owner.persist(now, job{versions: fresh, drop: owner.conflicts(fresh), after: arrived})
	}
}

// Base gives a version that is held, for whoever sends others to be read here as the changes of that.
func (owner *Owner) Base() contract.Position { return owner.versions[owner.committed].Position }

// Lacking gives the first committed revision that is missing here, or nothing.
func (owner *Owner) Lacking() int64 {
	cursor := owner.cursor
	owner.cursor = 0
	count, first := owner.lacks()
	if count > 0 {
		for skip := owner.random.Int64N(count); skip > 0 && first > 0; skip-- {
			owner.cursor = first
			_, first = owner.lacks()
		}
	}
	owner.cursor = cursor
	if !owner.Member() {
		return 0
	}
	return first
}

// CommittedOf gives the committed versions of some revisions, as far as the log has them.
func (owner *Owner) CommittedOf(revisions []int64) []contract.Version {
	versions := []contract.Version{}
	for _, revision := range revisions {
		if version, there := owner.versions[revision]; there && revision <= owner.committed {
			versions = append(versions, version)
		}
	}
	return versions
}

// Refill takes committed versions that other nodes kept.
func (owner *Owner) Refill(now time.Duration, records []contract.Record) []contract.Command {
	owner.out = nil
	cursor := owner.cursor
	owner.history(now, History{Records: records})
	owner.cursor = cursor
	out := owner.out
	owner.out = nil
	return out
}
