package ledger

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Silence is a caller whose patience ended without any word; it is excused only by a fault of its own node or link.
const Silence = "silence"

// Reply is what a caller got: pieces as they came, and how it ended.
type Reply struct {
	Outcome  string
	Status   int
	Pieces   []string
	Numbers  []int64
	Finished bool
	First    time.Duration
	After    time.Duration
	Excused  bool
	Node     string
}

// PieceOf is the text of a run's piece as the stand-in servers write it; callers can tell run, call and place from it.
func PieceOf(identity, scoped string, place int) string {
	return fmt.Sprintf("%s|%s|%d;", identity, scoped, place)
}

// Answered judges one answer at once.
func (ledger *Ledger) Answered(scoped string, index int, at time.Duration, reply Reply) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	known := ledger.calls[scoped]
	tried := known.attempts[index]
	tried.ended, tried.endedAt, tried.outcome = true, at, reply.Outcome
	ledger.Figures.answered(known.class, reply, at-tried.sent)
	if reply.Outcome == Silence && reply.Excused {
		ledger.Figures.excuse("silence of a node that was frozen, killed or cut from its caller")
	}
	if reply.Outcome == Silence && !reply.Excused {
		ledger.breach(at, LostSilently, "call %s had no word from %s, which was well", scoped, reply.Node)
	}
	if !known.model {
		return
	}
	run := ledger.judgePieces(known, at, reply)
	if !reply.Finished || run == nil {
		if reply.Finished {
			ledger.breach(at, BrokenStream, "call %s looked finished without a run", scoped)
		}
		return
	}
	if !run.whole || len(run.pieces) != len(reply.Pieces) {
		ledger.breach(at, BrokenStream, "call %s looked finished with %d pieces of %d", scoped, len(reply.Pieces), len(run.pieces))
	}
}

func (ledger *Ledger) judgePieces(known *called, at time.Duration, reply Reply) *run {
	identity := ""
	for place, piece := range reply.Pieces {
		parts := strings.Split(strings.TrimSuffix(piece, ";"), "|")
		if len(parts) != 3 {
			ledger.breach(at, WrongAnswer, "call %s got an odd piece %q", known.scoped, piece)
			return nil
		}
		if parts[1] != known.scoped {
			ledger.breach(at, WrongAnswer, "call %s got a piece of call %s", known.scoped, parts[1])
			return nil
		}
		if identity != "" && parts[0] != identity {
			ledger.breach(at, BrokenStream, "call %s got pieces of two runs", known.scoped)
			return nil
		}
		identity = parts[0]
		if parts[2] != fmt.Sprint(place) || reply.Numbers != nil && reply.Numbers[place] != int64(place) {
			ledger.breach(at, BrokenStream, "call %s: piece %s came at place %d", known.scoped, parts[2], place)
			return nil
		}
	}
	return ledger.byRun[identity]
}

// Accepted notes an operator's answer to a write; Held what a node says it has in force; ReadBack what a read gave.
func (ledger *Ledger) Accepted(revision int64, digest string, at time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	if former, there := ledger.accepted[revision]; there && digest != "" && former != digest {
		ledger.breach(at, LostManifest, "revision %d was accepted twice, altered", revision)
	}
	ledger.accepted[revision] = digest
	if _, there := ledger.inForce[revision]; !there {
		ledger.inForce[revision] = at
	}
}

// Held judges a node's revision; behind is for how long a node that it is in touch with has held more.
func (ledger *Ledger) Held(node string, revision int64, at, behind time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	if revision < ledger.held[node] {
		ledger.breach(at, LateManifest, "%s slipped from revision %d to %d", node, ledger.held[node], revision)
	}
	ledger.held[node] = revision
	for accepted, since := range ledger.inForce {
		if accepted <= revision {
			continue
		}
		ledger.Figures.manifestLag(min(behind, at-since))
		if at-since <= ledger.bounds.Deliver {
			continue
		}
		if behind > ledger.bounds.Deliver {
			ledger.breach(at, LateManifest, "%s holds revision %d, %v after %d was accepted", node, revision, at-since, accepted)
		} else {
			ledger.Figures.excuse("a look at a node out of touch with the newest manifest")
		}
	}
}

// Excuse counts what was seen and let pass.
func (ledger *Ledger) Excuse(cause string) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.Figures.excuse(cause)
}

func (ledger *Ledger) Restarted(node string) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	delete(ledger.held, node)
}

func (ledger *Ledger) ReadBack(revision int64, digest string, at time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	if former, there := ledger.accepted[revision]; there && former != "" && former != digest {
		ledger.breach(at, LostManifest, "revision %d read back altered or missing: %q, accepted as %q", revision, digest, former)
	}
}

// Altered notes an accepted revision that does not read as its operator sent it.
func (ledger *Ledger) Altered(revision int64, sent string, at time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.breach(at, LostManifest, "revision %d does not read as it was sent: %s", revision, sent)
}

func (ledger *Ledger) AcceptedRevisions() []int64 {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	revisions := []int64{}
	for revision := range ledger.accepted {
		revisions = append(revisions, revision)
	}
	slices.Sort(revisions)
	return revisions
}

// Returned judges how long serving took to come back in a region.
func (ledger *Ledger) Returned(region string, back, served time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.Figures.returned(served - back)
	if served-back > ledger.bounds.Return {
		ledger.breach(served, LateReturn, "region %s served again only %v after it returned", region, served-back)
	}
}

// Cut is a try that a server ran for a node and whose caller got no whole answer.
type Cut struct {
	Call        string
	Node        string
	Sent, Ended time.Duration
}

// Cuts gives the tries whose connections ended without a whole answer after the node they were sent to had passed them on.
func (ledger *Ledger) Cuts() []Cut {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	cuts := []Cut{}
	for _, known := range sortedCalls(ledger.calls) {
		for _, tried := range known.attempts {
			ran := slices.ContainsFunc(known.runs, func(begun *run) bool {
				return strings.HasPrefix(begun.identity, tried.node+"-") && tried.sent <= begun.began && begun.began <= tried.endedAt
			})
			if tried.ended && tried.outcome == brokenOff && ran {
				cuts = append(cuts, Cut{Call: known.scoped, Node: tried.node, Sent: tried.sent, Ended: tried.endedAt})
			}
		}
	}
	return cuts
}

// brokenOff is the outcome of a try whose connection ended before a whole answer came.
const brokenOff = "broken"

// Close judges what only the end shows.
func (ledger *Ledger) Close(at time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	for _, known := range sortedCalls(ledger.calls) {
		for _, tried := range known.attempts {
			if !tried.ended && at > tried.sent+tried.deadline+ledger.bounds.Patience {
				ledger.breach(at, LostSilently, "call %s sent at %v never got an answer", known.scoped, tried.sent)
			}
		}
		if known.model {
			ledger.judgeNotRun(known)
		}
	}
	ledger.judgeRepeats()
}

// judgeNotRun wants for every run a try that it can belong to: sent before it to the node that ran it, or away to be passed on,
// and not told "not run".
func (ledger *Ledger) judgeNotRun(known *called) {
	for _, begun := range known.runs {
		owned := false
		for _, tried := range known.attempts {
			there := tried.away || strings.HasPrefix(begun.identity, tried.node+"-")
			owned = owned || there && tried.sent <= begun.began && !(tried.ended && tried.outcome == "not_run")
		}
		if !owned {
			ledger.breach(begun.began, FalseNotRun, "call %s ran on %s, and every try of it was told not run", known.scoped, begun.server)
		}
	}
}
