package index

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Shown is what the first piece of a call at its prompt's place shows.
type Shown byte

const (
	// Unclear is all that is neither Kept nor missed.
	Unclear Shown = 'u'
	// Kept means that the first piece came sooner than reading the prompt could be.
	Kept Shown = 'k'
	// missed means that it came later than all that the call's node knows of explains, as if the prompt was read anew; the messages from
	// there on tell what part of the wait may be explained by others and it still was.
	missed, lastMissed Shown = 'A', 'Z'
)

// Missed gives what a call shows that took longer than expected; spare is what may be taken off its wait before it did not.
func Missed(took, spare time.Duration) Shown {
	return missed + Shown(min(time.Duration(lastMissed-missed), max(0, spare)*time.Duration(lastMissed-missed)/max(1, took)))
}

// Late tells whether a call was missed, and how long a wait behind others would explain it.
func (shown Shown) Late(took time.Duration) (time.Duration, bool) {
	if shown < missed || shown > lastMissed {
		return 0, false
	}
	return took * time.Duration(shown-missed) / time.Duration(lastMissed-missed), true
}

const (
	// agoSteps is how many steps of how long ago a use was a rest has; lastStep is the last one that is told.
	agoSteps = 80
	lastStep = 'z' - 'a'
	// settlesPerHalfLife is how long a miss waits for what other nodes tell: two of their beats and the way.
	settlesPerHalfLife = 12
	// waysPerRest is how many of the times by which ways of calls to one server differ a rest has.
	waysPerRest = 32
	// lastingHalfLives is how long an unused prompt is expected to be kept.
	lastingHalfLives = 16
	// steps are those of a server's part of the work, cut by the share of its checks that were missed; fewestMissed is how much of recent
	// misses, forgotten by half in a half-life, cuts at all.
	steps        = 4
	fewestMissed = 1.5
	// againHalfLives is how soon a prompt is missed a second time where misses come again and again.
	againHalfLives = 2
	// mostCalls bounds the calls that are kept of one server to explain misses with, and callsPerHalfLife for how long they are.
	mostCalls        = 32
	callsPerHalfLife = 2
	// falseAlarms and overlooked are the error rates that bound the sequential test for a loss (Wald); a call that was read anew shows it
	// with the chance missIfLost, and one that was not seems so with missIfKept.
	falseAlarms = 0.001
	overlooked  = 0.1
	missIfLost  = 0.6
	missIfKept  = 1.0 / 32
)

// Results gives two messages for each use: what it showed and how many steps ago its first piece came.
func Results(now, rest time.Duration, uses []Use) string {
	if slices.IndexFunc(uses, func(use Use) bool { return use.Shown != 0 }) < 0 {
		return ""
	}
	messages := make([]byte, 0, 2*len(uses))
	for _, use := range uses {
		shown := use.Shown
		if shown == 0 {
			shown = Unclear
		}
		messages = append(messages, byte(shown), 'a'+byte(min(lastStep, max(0, (now-use.At)*agoSteps/rest))))
	}
	return string(messages)
}

// result gives what a use showed and when; a node that doesn't tell it leaves it unclear.
func (used Used) result(now, rest time.Duration, place int) (Shown, time.Duration) {
	if len(used.Results) != 2*len(used.Uses) {
		return Unclear, now
	}
	return Shown(used.Results[2*place]), now - rest/agoSteps*time.Duration(min(lastStep, max(0, int(used.Results[2*place+1])-'a')))
}

// call is one use of a place as it was told; a miss is judged when others had the time to tell theirs. Former is the use before it.
type call struct {
	key                  Key
	began, ended, former time.Duration
	spare                time.Duration
	missed               bool
}

// checks are what first pieces showed of one server's cache. Recent counts are forgotten by half in a half-life.
type checks struct {
	service                     string
	calls                       []call
	used                        time.Duration
	kept, missed                int64
	recentChecked, recentMissed float64
	at                          time.Duration
	cut                         int
	suspect                     suspicion
	doubtedSince, doubtedUntil  time.Duration
}

// pending is a server with a miss that is to be judged at a moment.
type pending struct {
	server string
	at     time.Duration
}

// suspicion is a sequential test for the loss of all that a server kept.
type suspicion struct {
	since    time.Duration
	evidence float64
	keys     map[Key]bool
}

func (key Key) service() string {
	service, _, _ := strings.Cut(key.Scope, "\x00")
	return service
}

func (owner *Owner) checksOf(key Key, server string) *checks {
	known, there := owner.checks.Get(server)
	if !there {
		known = &checks{}
		owner.checks.Add(server, known)
	}
	known.service = key.service()
	return known
}

// noted takes a use of a place into account and gives what the place is from then on.
func (owner *Owner) noted(now time.Duration, place entry, use Use) entry {
	began := use.At - time.Duration(max(0, use.Took))*time.Millisecond
	known := owner.checksOf(use.Key, use.Server)
	spare, late := use.Shown.Late(use.At - began)
	late = late && place.read > 0 && place.read < began && began-place.used < owner.halfLife*lastingHalfLives
	known.calls = slices.DeleteFunc(known.calls, func(one call) bool { return !one.missed && one.ended < now-owner.halfLife/callsPerHalfLife })
	if len(known.calls) >= mostCalls {
		known.calls = known.calls[1:]
	}
	known.calls, known.used = append(known.calls, call{use.Key, began, use.At, place.used, spare, late}), now
	if late {
		owner.pending = append(owner.pending, pending{use.Server, now + owner.halfLife/settlesPerHalfLife})
	}
	if use.Shown == Kept {
		owner.judged(now, known, true)
		known.suspect.clear(began, place.used)
		if place.used > 0 && place.used < known.doubtedSince && began > known.doubtedSince {
			known.doubtedUntil = 0
		}
	}
	if place.read == 0 {
		place.read = use.At
	}
	place.used = max(place.used, use.At)
	return place
}

// judged counts one check of a server, and cuts its part of the work by a step or gives a step back.
func (owner *Owner) judged(now time.Duration, known *checks, kept bool) {
	forgotten := math.Exp2(-float64(now-known.at) / float64(owner.halfLife))
	known.recentChecked, known.recentMissed, known.at = known.recentChecked*forgotten+1, known.recentMissed*forgotten, now
	if kept {
		known.kept++
	} else {
		known.missed++
		known.recentMissed++
	}
	wanted := 0
	if known.recentMissed >= fewestMissed {
		wanted = min(steps-1, int(known.recentMissed/known.recentChecked*steps))
	}
	switch {
	case wanted < known.cut:
		known.cut--
	case wanted > known.cut && (known.cut > 0 || owner.mayCut(now, known.service)):
		known.cut++
	}
}

// mayCut tells whether one more server of a service may get less: never most of those that were used lately, so never the last.
func (owner *Owner) mayCut(now time.Duration, service string) bool {
	cut, used := 1, 0
	for _, known := range owner.checks.Values() {
		if known.service != service || now-known.used > owner.halfLife*againHalfLives {
			continue
		}
		used++
		if known.cut > 0 {
			cut++
		}
	}
	return cut*2 <= used
}

// part is what a server gets of its part of the work.
func (owner *Owner) part(server string) float64 {
	known, there := owner.checks.Peek(server)
	if !there {
		return 1
	}
	return 1 - float64(known.cut)/steps
}

// settle judges the misses that other nodes had the time to explain.
func (owner *Owner) settle(now time.Duration) []contract.Command {
	commands := []contract.Command{}
	for ; len(owner.pending) > 0 && now >= owner.pending[0].at; owner.pending = owner.pending[1:] {
		server := owner.pending[0].server
		known, there := owner.checks.Peek(server)
		for place := 0; there && place < len(known.calls); place++ {
			one := &known.calls[place]
			if !one.missed || now-one.ended < owner.halfLife/settlesPerHalfLife {
				continue
			}
			if one.missed = false; !owner.explained(known.calls, place) {
				commands = append(commands, owner.mismatch(now, server, known, *one)...)
			}
		}
	}
	return commands
}

// explained tells whether another call that came there first, or may have by the ways that calls take, kept one waiting so long that it
// was not late for itself.
func (owner *Owner) explained(calls []call, place int) bool {
	one := calls[place]
	for index, other := range calls {
		if index != place && other.began <= one.began+owner.rest/waysPerRest && other.ended > one.began+one.spare {
			return true
		}
	}
	return false
}

// mismatch notes that a server did not hold a prompt. As it has just read it, the place is right again, unless the server misses the
// prompt again and again: then the next call of it is placed elsewhere.
func (owner *Owner) mismatch(now time.Duration, server string, known *checks, one call) []contract.Command {
	owner.judged(now, known, false)
	commands := []contract.Command{contract.AddCounter{Name: "index_checked", Delta: 1}, contract.AddCounter{Name: "index_mismatches", Delta: 1},
		contract.Log{Message: "cache mismatch", Attributes: []any{"server", server, "scope", one.key.Scope, "anchor", one.key.Anchor, "agoMs", (now - one.ended).Milliseconds()}}}
	if known.suspect.miss(one, owner.halfLife) {
		known.doubtedSince, known.doubtedUntil = known.suspect.since, now+owner.halfLife
		known.suspect = suspicion{}
		commands = append(commands, contract.AddCounter{Name: "index_losses_noticed", Delta: 1}, contract.Log{Message: "cache loss noticed", Attributes: []any{"server", server}})
	}
	place, there := owner.places.Peek(one.key)
	if !there || place.server != server {
		return commands
	}
	again := place.missed > 0 && one.ended-place.missed < owner.halfLife*againHalfLives
	place.missed = one.ended
	if again && known.cut > 0 && !place.leaving && now >= place.moved+owner.rest {
		place.leaving = true
		owner.changed.Add(one.key, struct{}{})
		owner.dirty = true
		commands = append(commands, contract.AddCounter{Name: "index_places_left", Delta: 1})
	}
	owner.places.Add(one.key, place)
	return commands
}

// miss adds one miss and tells whether the evidence is enough. Each prompt counts once, and only if it was not used since the loss.
func (suspect *suspicion) miss(one call, halfLife time.Duration) bool {
	if suspect.keys == nil || one.began-suspect.since > halfLife {
		*suspect = suspicion{since: one.began, keys: map[Key]bool{}}
	}
	if !suspect.keys[one.key] && (len(suspect.keys) == 0 || one.former < suspect.since) {
		suspect.keys[one.key] = true
		suspect.evidence += math.Log(missIfLost / missIfKept)
	}
	return suspect.evidence >= math.Log((1-overlooked)/falseAlarms)
}

// clear ends a suspicion by a prompt that was used before it for the last time, and was still kept.
func (suspect *suspicion) clear(began, former time.Duration) {
	if suspect.keys != nil && former > 0 && former < suspect.since && began > suspect.since {
		*suspect = suspicion{}
	}
}

// Cached is what operators see of one server's cache: the prompts placed there, what first pieces showed since this owner began, its part
// of the work, and for how long it is doubted.
type Cached struct {
	Server    string  `json:"server"`
	Service   string  `json:"service"`
	Placed    int64   `json:"placed"`
	Checked   int64   `json:"checked"`
	Kept      int64   `json:"kept"`
	Missed    int64   `json:"missed"`
	Part      float64 `json:"part"`
	DoubtedMs int64   `json:"doubtedMs,omitempty"`
}

// View gives the servers that have places or were checked, by name.
func (owner *Owner) View(now time.Duration) []Cached {
	views := map[string]Cached{}
	for _, key := range owner.places.Keys() {
		place, _ := owner.places.Peek(key)
		view := views[place.server]
		view.Service = key.service()
		view.Placed++
		views[place.server] = view
	}
	for _, server := range owner.checks.Keys() {
		known, _ := owner.checks.Peek(server)
		view := views[server]
		view.Service, view.Kept, view.Missed, view.Checked = known.service, known.kept, known.missed, known.kept+known.missed
		if now < known.doubtedUntil {
			view.DoubtedMs = (now - known.doubtedSince).Milliseconds()
		}
		views[server] = view
	}
	all := make([]Cached, 0, len(views))
	for server, view := range views {
		view.Server, view.Part = server, owner.part(server)
		all = append(all, view)
	}
	return Merge(all)
}

// Merge sums the views of several control nodes by server: each counts what it was told, and most know the same places.
func Merge(views []Cached) []Cached {
	sums := map[string]Cached{}
	for _, view := range views {
		if view.Server == "" {
			continue
		}
		sum, there := sums[view.Server]
		if !there {
			sum = Cached{Server: view.Server, Part: 1}
		}
		sum.Service = max(sum.Service, view.Service)
		sum.Placed, sum.DoubtedMs, sum.Part = max(sum.Placed, view.Placed), max(sum.DoubtedMs, view.DoubtedMs), min(sum.Part, view.Part)
		sum.Checked, sum.Kept, sum.Missed = sum.Checked+view.Checked, sum.Kept+view.Kept, sum.Missed+view.Missed
		sums[view.Server] = sum
	}
	merged := make([]Cached, 0, len(sums))
	for _, sum := range sums {
		merged = append(merged, sum)
	}
	slices.SortFunc(merged, func(left, right Cached) int { return strings.Compare(left.Server, right.Server) })
	return merged
}
