// Package call defines a client's call, its possible outcomes, and the table of idempotency records that keeps a call from
// running twice.
package call

import (
	"time"
)

// Outcome is the state of a call as callers see it, in replies and in idempotency records.
type Outcome string

// The outcomes of a call. Running is the only one that can still change.
const (
	// Done means that the complete reply was received from a server.
	Done Outcome = "done"
	// NotRun means that the call is proven not to have run anywhere; it is safe to send it again.
	NotRun Outcome = "not_run"
	// Interrupted means that the call started, but its reply was cut off or its caller left.
	Interrupted Outcome = "interrupted"
	// Unknown means that the call may or may not have run.
	Unknown Outcome = "unknown"
	// Running means that a node has claimed the call and has not recorded its end.
	Running Outcome = "running"
	// Unseen answers a query for a call that is proven never to have been dispatched.
	Unseen Outcome = "unseen"
)

// Result is what is known about one attempt to run a call on one server.
type Result string

// The results of an attempt.
const (
	// CompleteReply means that the server's complete reply was received.
	CompleteReply Result = "whole"
	// NotSent means that no byte of the call left this node.
	NotSent Result = "not_sent"
	// Refused means that the server declared that it did not run the call.
	Refused Result = "refused_by_server"
	// BrokenReply means that the reply ended early, after some of its chunks had been received.
	BrokenReply Result = "broken_after_pieces"
	// NoReply means that the call was sent and no valid reply came; it may have run.
	NoReply Result = "sent_without_answer"
	// CallerLeft means that the caller disconnected while the attempt ran.
	CallerLeft Result = "caller_left"
	// RecalledBeforeStart means that the server gave the call back before it started it.
	RecalledBeforeStart Result = "recalled_before_start"
)

// NeverRan reports whether the result proves that the call did not run on that server and will not run there later.
func (result Result) NeverRan() bool {
	return result == NotSent || result == Refused || result == RecalledBeforeStart
}

// Call is a client's request as a data-plane node handles it, without its body.
type Call struct {
	// Key is the idempotency key that the caller chose, or the key that a lookup asks for.
	Key string
	// Caller is the name of the client; idempotency keys are scoped to it.
	Caller string
	Route  string
	// Session and Prefix are affinity keys: calls that share one prefer the same server. Prefix is a digest of the system message.
	Session string
	Prefix  string
	// Home is the region that must serve the call.
	Home string
	// Tokens is the estimated size of the prompt.
	Tokens int64
	// IsRetry is set when the caller says that it has sent this call before.
	IsRetry bool
	// Age is how long ago the caller first sent the call; 0 if it does not say.
	Age time.Duration
	// Deadline is the time left to answer; 0 means the route's default.
	Deadline time.Duration
	// Digest tells apart calls that reuse a key with a different body.
	Digest string
	// IsLookup marks a read-only lookup: it has no idempotency record and may run more than once.
	IsLookup bool
	// Forwarded is set on a call that another region's node forwarded to its home region.
	Forwarded bool
}

// ScopedKey returns the key of the call's idempotency record, which is unique across callers.
func (call Call) ScopedKey() string { return call.Caller + "\x1f" + call.Key }

// Record is the idempotency record of one call, as a replica stores and sends it. Node, Boot and Token identify the claim: the
// node that runs the call, that node's process start, and its number for the call. Remaining is the time left until the call's
// deadline, Lifetime the time until the record expires, and Age the time since the record was created, each relative to the
// moment of sending. Chunks holds the reply while ReplyKept is set.
type Record struct {
	ScopedKey string        `json:"scoped"`
	Digest    string        `json:"digest"`
	Node      string        `json:"node"`
	Region    string        `json:"region"`
	Boot      string        `json:"boot"`
	Token     int64         `json:"token"`
	Outcome   Outcome       `json:"outcome"`
	Chunks    []string      `json:"pieces,omitempty"`
	ReplyKept bool          `json:"kept"`
	Remaining time.Duration `json:"left"`
	Lifetime  time.Duration `json:"life,omitempty"`
	Age       time.Duration `json:"age,omitempty"`
}

// entry is a stored record with its times on this node's clock.
type entry struct {
	record    Record
	createdAt time.Duration
	deadline  time.Duration
	expiresAt time.Duration
}

// Table is one node's bounded, in-memory store of idempotency records. It never evicts an unexpired record to make room: a full
// table refuses new claims. Replies are bounded separately and evicted oldest first.
type Table struct {
	recordLifetime time.Duration
	maxRecords     int64
	maxReplyBytes  int64
	replyBytes     int64
	startedAt      time.Duration
	entries        map[string]*entry
	insertionOrder []string
	replyOrder     []string
}

// NewTable returns an empty table. A record expires recordLifetime after the deadline of its call. maxReplyBytes bounds the total
// size of the stored replies.
func NewTable(recordLifetime time.Duration, maxRecords, maxReplyBytes int64) *Table {
	return &Table{recordLifetime: recordLifetime, maxRecords: maxRecords, maxReplyBytes: maxReplyBytes, entries: map[string]*entry{}, startedAt: -1}
}

// Expire removes expired records. The first call marks the table as started.
func (table *Table) Expire(now time.Duration) {
	if table.startedAt < 0 {
		table.startedAt = now
	}
	for len(table.insertionOrder) > 0 {
		oldest := table.entries[table.insertionOrder[0]]
		if oldest != nil && now < oldest.expiresAt {
			return
		}
		if oldest != nil {
			table.remove(table.insertionOrder[0])
		}
		table.insertionOrder = table.insertionOrder[1:]
	}
}

// compactOrder removes released records from the insertion order, so that many refused calls do not accumulate memory.
func (table *Table) compactOrder() {
	if int64(len(table.insertionOrder)) <= 2*table.maxRecords {
		return
	}
	retained := []string{}
	for _, scopedKey := range table.insertionOrder {
		if _, exists := table.entries[scopedKey]; exists {
			retained = append(retained, scopedKey)
		}
	}
	table.insertionOrder = retained
}

func (table *Table) remove(scopedKey string) {
	table.replyBytes -= replyBytes(table.entries[scopedKey].record.Chunks)
	delete(table.entries, scopedKey)
}

func replyBytes(chunks []string) int64 {
	total := int64(0)
	for _, chunk := range chunks {
		total += int64(len(chunk))
	}
	return total
}

// Uptime returns how long ago the table was started, or 0 if it was not.
func (table *Table) Uptime(now time.Duration) time.Duration {
	if table.startedAt < 0 {
		return 0
	}
	return now - table.startedAt
}

// CoversAge reports whether the table has been up long enough to know of any call that was first sent age ago. Only then does a
// missing record mean that the call was never claimed here. An age of 0 means that the age is unknown.
func (table *Table) CoversAge(now, age time.Duration) bool {
	if table.startedAt < 0 {
		return false
	}
	uptime := now - table.startedAt
	return uptime >= table.recordLifetime || age > 0 && uptime > age
}

// Find returns the record of a call, with its Remaining and Age as of now, and whether there is one.
func (table *Table) Find(now time.Duration, scopedKey string) (Record, bool) {
	existing, exists := table.entries[scopedKey]
	if !exists {
		return Record{}, false
	}
	record := existing.record
	record.Remaining, record.Age = max(0, existing.deadline-now), now-existing.createdAt
	return record, true
}

// Claim stores a record for the node that wants to run the call, unless another claim came first. It returns the record that
// stands, whether that is the given claim, and whether the claim was refused because the table is full.
func (table *Table) Claim(now time.Duration, record Record) (Record, bool, bool) {
	if existing, exists := table.Find(now, record.ScopedKey); exists {
		same := existing.Node == record.Node && existing.Boot == record.Boot && existing.Token == record.Token
		return existing, same, false
	}
	if int64(len(table.entries)) >= table.maxRecords {
		return Record{}, false, true
	}
	record.Outcome = Running
	table.entries[record.ScopedKey] = &entry{record: record, createdAt: now, deadline: now + record.Remaining, expiresAt: now + record.Remaining + table.recordLifetime}
	table.insertionOrder = append(table.insertionOrder, record.ScopedKey)
	table.compactOrder()
	return record, true, false
}

// claimedBy returns the stored entry for a call and whether the given record's claim is the one it holds.
func (table *Table) claimedBy(record Record) (*entry, bool) {
	existing, exists := table.entries[record.ScopedKey]
	if !exists {
		return nil, false
	}
	same := existing.record.Node == record.Node && existing.record.Boot == record.Boot && existing.record.Token == record.Token
	return existing, same
}

// Finish records the outcome of a claimed call and, if there is room for it, the reply of a completed one. It does nothing if the
// claim is not the given one or already has an outcome.
func (table *Table) Finish(record Record) {
	claimed, same := table.claimedBy(record)
	if !same || claimed.record.Outcome != Running {
		return
	}
	claimed.record.Outcome = record.Outcome
	replySize := replyBytes(record.Chunks)
	if record.Outcome != Done || replySize > table.maxReplyBytes {
		return
	}
	for table.replyBytes+replySize > table.maxReplyBytes && len(table.replyOrder) > 0 {
		if evicted, exists := table.entries[table.replyOrder[0]]; exists {
			table.replyBytes -= replyBytes(evicted.record.Chunks)
			evicted.record.Chunks, evicted.record.ReplyKept = nil, false
		}
		table.replyOrder = table.replyOrder[1:]
	}
	claimed.record.Chunks, claimed.record.ReplyKept = record.Chunks, true
	table.replyBytes += replySize
	table.replyOrder = append(table.replyOrder, record.ScopedKey)
}

// Release removes the claim of a call that is proven not to have run, so that a retry may run.
func (table *Table) Release(record Record) {
	if claimed, same := table.claimedBy(record); same && claimed.record.Outcome == Running {
		table.remove(record.ScopedKey)
	}
}

// Export returns up to limit records, newest first and without replies, for a peer that restarted: those of its region, or of all.
func (table *Table) Export(now time.Duration, region string, allRegions bool, limit int) []Record {
	records := []Record{}
	for position := len(table.insertionOrder) - 1; position >= 0 && len(records) < limit; position-- {
		if existing, exists := table.entries[table.insertionOrder[position]]; exists && existing.expiresAt > now && (allRegions || existing.record.Region == region) {
			record := existing.record
			record.Chunks, record.ReplyKept = nil, false
			record.Remaining, record.Lifetime = max(0, existing.deadline-now), existing.expiresAt-now
			records = append(records, record)
		}
	}
	return records
}

// Import stores a record that a peer exported. A record that exists here is not overwritten, and a full table drops it.
func (table *Table) Import(now time.Duration, record Record) {
	if _, exists := table.entries[record.ScopedKey]; exists || record.Lifetime <= 0 || int64(len(table.entries)) >= table.maxRecords {
		return
	}
	table.entries[record.ScopedKey] = &entry{record: record, deadline: now + record.Remaining, expiresAt: now + record.Lifetime}
	table.insertionOrder = append(table.insertionOrder, record.ScopedKey)
}

// Len returns the number of records.
func (table *Table) Len() int { return len(table.entries) }
