package ledger

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// OutcomeNoAnswer is the outcome of an attempt whose client got no answer before it gave up. It is a violation unless a fault of the
// node or of the link excuses it.
const OutcomeNoAnswer = "silence"

// Reply is what a client got for one attempt.
type Reply struct {
	// Outcome is the outcome that the node reported, such as "done" or "not_run", or one that the client saw itself: "broken" for a
	// connection that ended early, OutcomeNoAnswer after the deadline.
	Outcome string
	// Status is the HTTP status of an error, if the client got one.
	Status int
	// Chunks are the texts in the order in which they came, and ChunkNumbers their sequence numbers; nil if the reply was not
	// streamed.
	Chunks       []string
	ChunkNumbers []int64
	// Finished means that the reply ended like a complete one.
	Finished bool
	// FirstChunkAfter is the time from sending the call to its first chunk.
	FirstChunkAfter time.Duration
	// RetryAfter is the pause that a refusal asked for.
	RetryAfter time.Duration
	// Excused means that a missing answer is explained by a fault of Node, or of the link to it.
	Excused bool
	Node    string
}

// ChunkText is the text of a chunk as simulated servers produce it. It names the run, the call and the position in the reply, so that
// a client can check all three.
func ChunkText(runID, key string, position int) string {
	return fmt.Sprintf("%s|%s|%d;", runID, key, position)
}

// AttemptAnswered records the answer to an attempt and checks what can be checked at once.
func (ledger *Ledger) AttemptAnswered(key string, index int, at time.Duration, reply Reply) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	record := ledger.calls[key]
	attempt := record.attempts[index]
	attempt.ended, attempt.endedAt, attempt.outcome = true, at, reply.Outcome
	ledger.Stats.addAnswer(record.class, reply, at-attempt.sentAt)
	if reply.Outcome == OutcomeNoAnswer && reply.Excused {
		ledger.Stats.addExcused("silence of a node that was frozen, killed or cut from its caller")
	}
	if reply.Outcome == OutcomeNoAnswer && !reply.Excused {
		ledger.addViolation(at, UnansweredCall, "call %s got no answer from %s, which was healthy", key, reply.Node)
	}
	if !record.inference {
		return
	}
	run := ledger.checkChunks(record, at, reply)
	if !reply.Finished || run == nil {
		if reply.Finished {
			ledger.addViolation(at, BrokenStream, "call %s was reported as finished without a run", key)
		}
		return
	}
	if !run.complete || len(run.chunks) != len(reply.Chunks) {
		ledger.addViolation(at, BrokenStream, "call %s was reported as finished with %d chunks of %d", key, len(reply.Chunks), len(run.chunks))
	}
}

// checkChunks checks the chunks of a reply and returns the run that they came from, or nil if there is none.
func (ledger *Ledger) checkChunks(record *callRecord, at time.Duration, reply Reply) *serverRun {
	runID := ""
	for position, chunk := range reply.Chunks {
		parts := strings.Split(strings.TrimSuffix(chunk, ";"), "|")
		if len(parts) != 3 {
			ledger.addViolation(at, WrongAnswer, "call %s got a malformed chunk %q", record.key, chunk)
			return nil
		}
		if parts[1] != record.key {
			ledger.addViolation(at, WrongAnswer, "call %s got a chunk of call %s", record.key, parts[1])
			return nil
		}
		if runID != "" && parts[0] != runID {
			ledger.addViolation(at, BrokenStream, "call %s got chunks of two runs", record.key)
			return nil
		}
		runID = parts[0]
		if parts[2] != fmt.Sprint(position) || reply.ChunkNumbers != nil && reply.ChunkNumbers[position] != int64(position) {
			ledger.addViolation(at, BrokenStream, "call %s: chunk %s arrived at position %d", record.key, parts[2], position)
			return nil
		}
	}
	return ledger.runsByID[runID]
}

// ManifestAccepted records that an operator's write was accepted as a revision; an empty digest means that it is not known.
func (ledger *Ledger) ManifestAccepted(revision int64, digest string, at time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	if previous, found := ledger.accepted[revision]; found && digest != "" && previous != digest {
		ledger.addViolation(at, LostManifest, "revision %d was accepted twice with different content", revision)
	}
	ledger.accepted[revision] = digest
	if _, found := ledger.acceptedAt[revision]; !found {
		ledger.acceptedAt[revision] = at
	}
}

// ManifestHeld records and checks the revision that a node has in force; behind is how long some node that it can communicate with
// has had a newer one.
func (ledger *Ledger) ManifestHeld(node string, revision int64, at, behind time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	if revision < ledger.revisions[node] {
		ledger.addViolation(at, StaleManifest, "%s went back from revision %d to %d", node, ledger.revisions[node], revision)
	}
	ledger.revisions[node] = revision
	for accepted, acceptedAt := range ledger.acceptedAt {
		if accepted <= revision {
			continue
		}
		ledger.Stats.addManifestLag(min(behind, at-acceptedAt))
		if at-acceptedAt <= ledger.bounds.ManifestDelivery {
			continue
		}
		if behind > ledger.bounds.ManifestDelivery {
			ledger.addViolation(at, StaleManifest, "%s holds revision %d, %v after %d was accepted", node, revision, at-acceptedAt, accepted)
		} else {
			ledger.Stats.addExcused("a look at a node out of touch with the newest manifest")
		}
	}
}

// Excuse counts an observation that is tolerated because of the given cause.
func (ledger *Ledger) Excuse(cause string) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.Stats.addExcused(cause)
}

// NodeRestarted forgets the revision of a node that lost its state, so that an older one is no violation.
func (ledger *Ledger) NodeRestarted(node string) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	delete(ledger.revisions, node)
}

// ManifestRead checks the digest that a read of a revision returned; a failed read passes a text that matches no digest.
func (ledger *Ledger) ManifestRead(revision int64, digest string, at time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	if previous, found := ledger.accepted[revision]; found && previous != "" && previous != digest {
		ledger.addViolation(at, LostManifest, "revision %d reads back changed or missing: %q, accepted as %q", revision, digest, previous)
	}
}

// ManifestAltered records that the content of an accepted revision differs from what its operator sent.
func (ledger *Ledger) ManifestAltered(revision int64, sent string, at time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.addViolation(at, LostManifest, "revision %d does not read as it was sent: %s", revision, sent)
}

// AcceptedRevisions returns the accepted revisions in ascending order.
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

// RegionRecovered records when a region returned and when it first completed a call again.
func (ledger *Ledger) RegionRecovered(region string, returnedAt, servedAt time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.Stats.addRecovery(servedAt - returnedAt)
	if servedAt-returnedAt > ledger.bounds.Recovery {
		ledger.addViolation(servedAt, SlowRecovery, "region %s served again only %v after it returned", region, servedAt-returnedAt)
	}
}

// LostRun is an attempt that a server ran but whose client got no complete answer.
type LostRun struct {
	// Call is the key of the call, Node the node that it was sent to.
	Call            string
	Node            string
	SentAt, EndedAt time.Duration
}

// LostRuns returns the attempts whose connection broke before the complete answer although the node had dispatched them to a server.
func (ledger *Ledger) LostRuns() []LostRun {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	lostRuns := []LostRun{}
	for _, record := range sortedByKey(ledger.calls) {
		for _, attempt := range record.attempts {
			ran := slices.ContainsFunc(record.runs, func(run *serverRun) bool {
				return strings.HasPrefix(run.id, attempt.node+"-") && attempt.sentAt <= run.startedAt && run.startedAt <= attempt.endedAt
			})
			if attempt.ended && attempt.outcome == outcomeBroken && ran {
				lostRuns = append(lostRuns, LostRun{Call: record.key, Node: attempt.node, SentAt: attempt.sentAt, EndedAt: attempt.endedAt})
			}
		}
	}
	return lostRuns
}

// outcomeBroken is the outcome of an attempt whose connection ended before the complete answer.
const outcomeBroken = "broken"

// Close runs the checks that need the whole run: unanswered calls, runs of calls reported as not run, and the retry budget.
func (ledger *Ledger) Close(at time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	for _, record := range sortedByKey(ledger.calls) {
		for _, attempt := range record.attempts {
			if !attempt.ended && at > attempt.sentAt+attempt.deadline+ledger.bounds.AnswerGrace {
				ledger.addViolation(at, UnansweredCall, "call %s sent at %v never got an answer", record.key, attempt.sentAt)
			}
		}
		if record.inference {
			ledger.checkNotRun(record)
		}
	}
	ledger.checkRetries()
}

// checkNotRun requires for every run an attempt that explains it: one sent before the run, to the node that ran it or to a node
// outside the home region (which forwards it), and not reported as not run.
func (ledger *Ledger) checkNotRun(record *callRecord) {
	for _, run := range record.runs {
		explained := false
		for _, attempt := range record.attempts {
			mayHaveRun := attempt.outsideHome || strings.HasPrefix(run.id, attempt.node+"-")
			explained = explained || mayHaveRun && attempt.sentAt <= run.startedAt && !(attempt.ended && attempt.outcome == "not_run")
		}
		if !explained {
			ledger.addViolation(run.startedAt, FalseNotRun, "call %s ran on %s, and every attempt of it was reported as not run", record.key, run.server)
		}
	}
}
