package data

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/machine"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/pick"
)

type phase string

const (
	phaseFinding phase = "finding"
	phaseHolding phase = "holding"
	phaseLined   phase = "lined"
	phaseRunning phase = "running"
	phasePassed  phase = "passed on"
)

const mostAttempts = 3

type attempt struct {
	server   contract.Candidate
	began    time.Duration
	pieces   bool
	recalled bool
}

type job struct {
	token     int64
	call      call.Call
	route     manifest.Route
	phase     phase
	arrived   time.Duration
	deadline  time.Duration
	asked     time.Duration
	keepers   map[string]contract.Member
	backers   []string
	outer     map[string]contract.Member
	vouched   map[string]bool
	granted   map[string]bool
	voters    []string
	contested bool
	refused   int
	attempts  map[int]*attempt
	tries     int
	tried     map[string]bool
	hedged    bool
	searched  bool
	trace     *Trace
	silent    bool
}

func (owner *Owner) jitter(span time.Duration) time.Duration {
	return span + time.Duration(owner.Random.Int64N(int64(span)+1))
}

func (owner *Owner) arrive(now time.Duration, event Arrive) {
	read, asked := owner.Feed.Manifest(), event.Call
	home, fine := read.Home(asked.Caller, asked.Home, owner.Self().Region)
	asked.Home = home
	job := &job{token: event.Token, call: asked, arrived: now, tried: map[string]bool{}, attempts: map[int]*attempt{},
		trace: &Trace{Call: asked.Key, Caller: asked.Caller, Route: asked.Route, Node: owner.Self().Name, Home: home, Revision: owner.Feed.Version().Place.Revision, arrived: now}}
	owner.traces.add(job.trace)
	owner.count("calls")
	if !owner.Feed.Known() || owner.stopping {
		owner.refuse(now, job, 503, "this node does not serve now", owner.jitter(owner.Bounds.Round()))
		return
	}
	route, there := read.Routes[asked.Route]
	job.route = route
	switch {
	case !there || asked.IsLookup != (route.Class == manifest.ClassLookup):
		owner.refuse(now, job, 404, "no such route", 0)
		return
	case !fine:
		owner.refuse(now, job, 400, fmt.Sprintf("home %q is not this caller's, or no region", event.Call.Home), 0)
		return
	case route.Pools[home] == "":
		owner.refuse(now, job, 404, "the route has no pool in the home region", 0)
		return
	case int64(len(owner.jobs)) >= owner.Bounds.Calls:
		owner.refuse(now, job, 503, "too many calls at this node", owner.jitter(owner.Bounds.Round()))
		return
	}
	if asked.Deadline <= 0 {
		asked.Deadline = route.Deadline
	}
	job.deadline = now + min(asked.Deadline, owner.Bounds.Deadline())
	if home != owner.Self().Region {
		owner.passOn(now, job)
		return
	}
	if job.call.Tokens == 0 {
		job.call.Tokens = route.Tokens
	}
	owner.jobs[job.token] = job
	if asked.IsLookup {
		owner.enter(now, job)
		return
	}
	if record, known := owner.table.Find(now, asked.ScopedKey()); known {
		owner.meet(now, job, record)
		return
	}
	if asked.IsRetry {
		owner.startFind(now, job)
		return
	}
	owner.startHold(now, job)
}

// refuse ends a call that is proven not to run: it is out of our lines before the answer goes.
func (owner *Owner) refuse(now time.Duration, job *job, status int, err string, after time.Duration) {
	owner.trouble(now, job, status, call.NotRun, err, after)
}

func (owner *Owner) trouble(now time.Duration, job *job, status int, outcome call.Outcome, err string, after time.Duration) {
	job.trace.Error = err
	owner.count(fmt.Sprintf("answers_%d", status))
	owner.finish(now, job, outcome, contract.Answer{Token: job.token, Status: status, After: after,
		Body: contract.Trouble{Outcome: string(outcome), Error: err, RetryAfterMs: after.Milliseconds()}})
}

// finish takes a call out of every line and record that it must leave, and gives its one answer.
func (owner *Owner) finish(now time.Duration, job *job, outcome call.Outcome, answer contract.Command) {
	owner.lines.Leave(job.call.Route, job.token)
	delete(owner.jobs, job.token)
	owner.settleRecord(job, outcome, nil)
	for _, number := range sortedAttempts(job.attempts) {
		owner.dropAttempt(now, job, number, false)
		owner.emit(Cancel{Token: job.token, Attempt: number})
	}
	owner.closeTrace(now, job, outcome, answer)
	if answer != nil && !job.silent {
		owner.emit(answer)
	}
}

func (owner *Owner) closeTrace(now time.Duration, job *job, outcome call.Outcome, answer contract.Command) {
	job.trace.Outcome, job.trace.TookMs = string(outcome), (now - job.arrived).Milliseconds()
	if given, fine := answer.(contract.Answer); fine {
		job.trace.Status = given.Status
	}
	owner.count("outcomes_" + string(outcome))
	if outcome == call.Done {
		owner.emit(contract.Took{What: "call", Class: job.route.Class, Span: now - job.arrived})
	}
}

func sortedAttempts(attempts map[int]*attempt) []int {
	numbers := []int{}
	for number := 1; len(numbers) < len(attempts); number++ {
		if _, there := attempts[number]; there {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// enter puts a recorded call into its line, or refuses it at once when it could not be served in time.
func (owner *Owner) enter(now time.Duration, job *job) {
	wait := owner.lines.Wait(job.call.Route, owner.lines.Ahead(job.call.Route, job.call.Caller), owner.running(job.call.Route))
	joined, displaced := owner.lines.Join(job.call.Route, job.call.Caller, job.token, job.route.QueueLimit)
	if other, there := owner.jobs[displaced]; there {
		owner.count("calls_displaced")
		owner.refuse(now, other, 429, "the line is full, and most of it is of this caller", owner.jitter(max(wait/2, owner.Bounds.Round())))
	}
	if !joined {
		owner.refuse(now, job, 429, "the line is full", owner.jitter(max(wait/2, owner.Bounds.Round())))
		return
	}
	job.phase = phaseLined
	owner.serve(now)
	if job.phase == phaseLined && owner.allRest(now, job) {
		owner.refuse(now, job, 503, "its servers turn calls away; the call did not run", owner.jitter(owner.Bounds.Lease()))
		return
	}
	if job.phase == phaseLined && now+wait+owner.lines.Service(job.call.Route) > job.deadline {
		owner.refuse(now, job, 429, "it cannot be served before its deadline", owner.jitter(max(wait/2, owner.Bounds.Round())))
	}
}

func (owner *Owner) running(route string) int {
	count := 0
	for _, job := range owner.jobs {
		if job.phase == phaseRunning && job.call.Route == route {
			count++
		}
	}
	return count
}

func (owner *Owner) serve(now time.Duration) {
	if owner.lines.Total() == 0 {
		return
	}
	candidates, lapsed := owner.candidates(now)
	owner.lines.Serve(func(token int64) bool {
		job, there := owner.jobs[token]
		return !there || owner.dispatch(now, job, candidates, lapsed)
	})
}

func (owner *Owner) dispatch(now time.Duration, job *job, candidates []contract.Candidate, lapsed []int) bool {
	if now >= job.deadline {
		return false
	}
	want := pick.Want{Pool: job.route.Pools[job.call.Home], Class: job.route.Class, Zone: owner.Self().Zone, Prefix: job.call.Prefix, Avoid: job.tried, Resting: owner.resting(now)}
	if job.call.Session != "" {
		want.Session = job.call.Caller + "\x1f" + job.call.Session
	}
	chosen, verdicts, fine := pick.Choose(want, candidates, owner.usages, owner.sessions.server, owner.Random)
	if !fine {
		return false
	}
	if job.tries == 0 {
		owner.repeats.Deposit()
	}
	job.phase = phaseRunning
	job.tries++
	job.tried[chosen.Name] = true
	job.attempts[job.tries] = &attempt{server: chosen, began: now}
	usage := owner.usages[chosen.Name]
	usage.Own++
	owner.usages[chosen.Name] = usage
	if want.Session != "" {
		owner.sessions.set(want.Session, chosen.Name)
	}
	if want.Prefix != "" {
		owner.sessions.set("prefix/"+want.Prefix, chosen.Name)
	}
	owner.fillTrace(job, chosen, verdicts, lapsed)
	owner.emit(Dispatch{Token: job.token, Attempt: job.tries, Identity: identity(owner.Self(), job, job.tries), Server: chosen,
		Limit: job.deadline - now, Until: min(owner.leasedUntil(now, chosen.Name), job.deadline)})
	return true
}

func identity(self contract.Member, job *job, number int) string {
	return fmt.Sprintf("%s-%s-%d-%d", machine.Name(self), self.Boot, job.token, number)
}

const mostVerdicts = 32

func (owner *Owner) fillTrace(job *job, chosen contract.Candidate, verdicts []pick.Verdict, lapsed []int) {
	if len(verdicts) > mostVerdicts {
		verdicts = verdicts[:mostVerdicts]
	}
	job.trace.Attempts = append(job.trace.Attempts, TraceAttempt{Server: chosen.Name, Verdicts: verdicts})
	job.trace.Lists = nil
	for _, index := range owner.shardIndexes() {
		held := owner.grants[index]
		list := TraceList{Shard: index, Epoch: held.lease.Epoch, Number: held.lease.Number}
		for _, other := range lapsed {
			list.Lapsed = list.Lapsed || other == index
		}
		job.trace.Lists = append(job.trace.Lists, list)
	}
}

func (owner *Owner) tickJobs(now time.Duration) {
	for _, token := range owner.tokens() {
		job := owner.jobs[token]
		switch {
		case job.phase == phaseHolding && now-job.asked > owner.Bounds.ReplicationTimeout():
			owner.refuse(now, job, 503, "too few keepers answered; the call did not run", owner.jitter(owner.Bounds.Round()))
		case job.phase == phaseHolding && job.contested:
			owner.holdAgain(job)
		case job.phase == phaseHolding:
			owner.checkHold(now, job)
		case job.phase == phaseLined && now+owner.lines.Service(job.call.Route)/2 >= job.deadline:
			owner.refuse(now, job, 503, "no server was free in time; the call did not run", owner.jitter(owner.Bounds.Round()))
		case job.phase == phaseRunning && job.call.IsLookup && !job.hedged:
			owner.hedge(now, job)
		}
	}
}

const hedgeAfter = 3

// hedge sends a slow lookup to a second server, out of the allowance of repeats.
func (owner *Owner) hedge(now time.Duration, job *job) {
	patience := max(owner.lines.Service(job.call.Route)*hedgeAfter, owner.Bounds.LeaseRenewal())
	first, there := job.attempts[job.tries]
	if !there || now-first.began < patience || job.tries >= mostAttempts {
		return
	}
	job.hedged = true
	if !owner.repeats.TryWithdraw() {
		return
	}
	candidates, lapsed := owner.candidates(now)
	if owner.dispatch(now, job, candidates, lapsed) {
		owner.count("repeats_hedged")
	}
}
