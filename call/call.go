// Package call holds what a call is, how it can end, and the records that keep it from running twice.
package call

import (
	"time"
)

type Outcome string

const (
	Done        Outcome = "done"
	NotRun      Outcome = "not_run"
	Interrupted Outcome = "interrupted"
	Unknown     Outcome = "unknown"
	Running     Outcome = "running"
	Unseen      Outcome = "unseen"
)

// Proof is what is known of one attempt at one server.
type Proof string

const (
	Whole     Proof = "whole"
	NotSent   Proof = "not_sent"
	Refused   Proof = "refused_by_server"
	Broken    Proof = "broken_after_pieces"
	Silent    Proof = "sent_without_answer"
	Left      Proof = "caller_left"
	Withdrawn Proof = "recalled_before_start"
)

// NeverRan tells whether the proof shows that the call did not and will not run there.
func (proof Proof) NeverRan() bool {
	return proof == NotSent || proof == Refused || proof == Withdrawn
}

type Call struct {
	Key      string
	Caller   string
	Route    string
	Session  string
	Prefix   string
	Home     string
	Tokens   int64
	Repeat   bool
	Age      time.Duration
	Deadline time.Duration
	Digest   string
	Lookup   bool
	Hop      bool
}

func (call Call) Scoped() string { return call.Caller + "\x1f" + call.Key }

// Record is what a keeper knows of a call.
type Record struct {
	Scoped  string        `json:"scoped"`
	Digest  string        `json:"digest"`
	Node    string        `json:"node"`
	Region  string        `json:"region"`
	Boot    string        `json:"boot"`
	Token   int64         `json:"token"`
	Outcome Outcome       `json:"outcome"`
	Pieces  []string      `json:"pieces,omitempty"`
	Kept    bool          `json:"kept"`
	Left    time.Duration `json:"left"`
	Life    time.Duration `json:"life,omitempty"`
	Age     time.Duration `json:"age,omitempty"`
}

type entry struct {
	record  Record
	since   time.Duration
	until   time.Duration
	expires time.Duration
}

// Table is a keeper's bounded memory; it never drops a live record to make room.
type Table struct {
	life     time.Duration
	most     int64
	mostSize int64
	size     int64
	started  time.Duration
	entries  map[string]*entry
	order    []string
	replies  []string
}

func NewTable(life time.Duration, most, mostSize int64) *Table {
	return &Table{life: life, most: most, mostSize: mostSize, entries: map[string]*entry{}, started: -1}
}

func (table *Table) Tick(now time.Duration) {
	if table.started < 0 {
		table.started = now
	}
	for len(table.order) > 0 {
		oldest := table.entries[table.order[0]]
		if oldest != nil && now < oldest.expires {
			return
		}
		if oldest != nil {
			table.drop(table.order[0])
		}
		table.order = table.order[1:]
	}
}

// compact forgets the order of calls that were freed, so that a storm of refusals costs no memory.
func (table *Table) compact() {
	if int64(len(table.order)) <= 2*table.most {
		return
	}
	kept := []string{}
	for _, scoped := range table.order {
		if _, there := table.entries[scoped]; there {
			kept = append(kept, scoped)
		}
	}
	table.order = kept
}

func (table *Table) drop(scoped string) {
	table.size -= size(table.entries[scoped].record.Pieces)
	delete(table.entries, scoped)
}

func size(pieces []string) int64 {
	total := int64(0)
	for _, piece := range pieces {
		total += int64(len(piece))
	}
	return total
}

func (table *Table) Uptime(now time.Duration) time.Duration {
	if table.started < 0 {
		return 0
	}
	return now - table.started
}

// Firm tells whether this keeper would know of a call first sent so long ago.
func (table *Table) Firm(now, age time.Duration) bool {
	if table.started < 0 {
		return false
	}
	uptime := now - table.started
	return uptime >= table.life || age > 0 && uptime > age
}

func (table *Table) Find(now time.Duration, scoped string) (Record, bool) {
	known, there := table.entries[scoped]
	if !there {
		return Record{}, false
	}
	record := known.record
	record.Left, record.Age = max(0, known.until-now), now-known.since
	return record, true
}

// Hold takes a call for the node that will run it; the first one wins.
func (table *Table) Hold(now time.Duration, record Record) (Record, bool, bool) {
	if known, there := table.Find(now, record.Scoped); there {
		same := known.Node == record.Node && known.Boot == record.Boot && known.Token == record.Token
		return known, same, false
	}
	if int64(len(table.entries)) >= table.most {
		return Record{}, false, true
	}
	record.Outcome = Running
	table.entries[record.Scoped] = &entry{record: record, since: now, until: now + record.Left, expires: now + record.Left + table.life}
	table.order = append(table.order, record.Scoped)
	table.compact()
	return record, true, false
}

func (table *Table) held(record Record) (*entry, bool) {
	known, there := table.entries[record.Scoped]
	if !there {
		return nil, false
	}
	same := known.record.Node == record.Node && known.record.Boot == record.Boot && known.record.Token == record.Token
	return known, same
}

// Finish writes the end of a call; a first end is never replaced.
func (table *Table) Finish(record Record) {
	known, same := table.held(record)
	if !same || known.record.Outcome != Running {
		return
	}
	known.record.Outcome = record.Outcome
	cost := size(record.Pieces)
	if record.Outcome != Done || cost > table.mostSize {
		return
	}
	for table.size+cost > table.mostSize && len(table.replies) > 0 {
		if old, there := table.entries[table.replies[0]]; there {
			table.size -= size(old.record.Pieces)
			old.record.Pieces, old.record.Kept = nil, false
		}
		table.replies = table.replies[1:]
	}
	known.record.Pieces, known.record.Kept = record.Pieces, true
	table.size += cost
	table.replies = append(table.replies, record.Scoped)
}

// Free forgets a call that is proven not to have run.
func (table *Table) Free(record Record) {
	if known, same := table.held(record); same && known.record.Outcome == Running {
		table.drop(record.Scoped)
	}
}

// Share gives the newest records for a peer that forgot; replies stay where they are.
func (table *Table) Share(now time.Duration, region string, all bool, most int) []Record {
	records := []Record{}
	for place := len(table.order) - 1; place >= 0 && len(records) < most; place-- {
		if known, there := table.entries[table.order[place]]; there && known.expires > now && (all || known.record.Region == region) {
			record := known.record
			record.Pieces, record.Kept = nil, false
			record.Left, record.Life = max(0, known.until-now), known.expires-now
			records = append(records, record)
		}
	}
	return records
}

// Absorb takes what a peer handed over; what is known here already stays.
func (table *Table) Absorb(now time.Duration, record Record) {
	if _, there := table.entries[record.Scoped]; there || record.Life <= 0 || int64(len(table.entries)) >= table.most {
		return
	}
	table.entries[record.Scoped] = &entry{record: record, until: now + record.Left, expires: now + record.Life}
	table.order = append(table.order, record.Scoped)
}

func (table *Table) Size() int { return len(table.entries) }
