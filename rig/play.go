package rig

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/cedarreel/cedarreel/site"
)

// Plan is one run of the rig.
type Plan struct {
	Site site.Site
	Bin  string
	// OtherBin is the folder of a second build, for a fleet of mixed versions; empty for one build.
	OtherBin string
	Folder   string
	Span     time.Duration
	Rate     float64
	Seed     uint64
	Story    string
	Stay     bool
	Say      func(string)
}

type story func(rig *Rig, plan Plan) error

var stories map[string]story

func init() { stories = allStories() }

func StoryNames() []string {
	names := []string{}
	for name := range stories {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

type end struct {
	clean bool
	err   error
}

// Play brings a fleet up, lets the callers come, plays the story, and tells whether the ledger found nothing wrong.
func Play(plan Plan) (bool, error) {
	told, there := stories[plan.Story]
	if !there {
		return false, fmt.Errorf("no story %q; there are %v", plan.Story, StoryNames())
	}
	rig, err := New(plan.Site, plan.Bin, plan.Folder, plan.Seed)
	if err != nil {
		return false, err
	}
	defer rig.Close()
	rig.mixBuilds(plan.OtherBin)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan end, 1)
	go func() {
		clean, err := rig.play(plan, told)
		ended <- end{clean, err}
	}()
	select {
	case <-signals:
		return false, errors.New("ended by a signal; every process that was started is ended too")
	case over := <-ended:
		if plan.Stay && over.err == nil {
			plan.Say("the fleet stays up; end it with a signal")
			<-signals
		}
		return over.clean, over.err
	}
}

// play is a run from the start of the processes to the ledger's last look.
func (rig *Rig) play(plan Plan, told story) (bool, error) {
	err := error(nil)
	if err = rig.Start(); err != nil {
		return false, err
	}
	if err = rig.Adopt(adoptTime * time.Duration(max(1, len(rig.Nodes)/fewNodes))); err != nil {
		return false, err
	}
	plan.Say(fmt.Sprintf("%s: the manifest is in force after %v; settings and logs in %s", plan.Site.Name, rig.now().Round(time.Millisecond), plan.Folder))
	plan.Say("any node answers operators, for example " + rig.Nodes[0].Settings.Control)
	if err = rig.Await("serving", rig.bounds.Return()*time.Duration(max(1, len(rig.Nodes)/fewNodes)), rig.serves); err != nil {
		return false, err
	}
	crowd := rig.NewCrowd(plan.Seed)
	crowd.Run(plan.Span, plan.Rate)
	stop := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		rig.watch(stop)
	}()
	err = told(rig, plan)
	crowd.Wait()
	close(stop)
	<-watched
	rig.Ledger.Close(rig.now())
	plan.Say(fmt.Sprintf("seed %d story %s\n%s", plan.Seed, plan.Story, rig.Ledger.Stats.Summary()))
	breaches := rig.Ledger.Violations()
	for index, breach := range breaches {
		if index < 20 {
			plan.Say(fmt.Sprintf("BREACH %v at %v: %s", breach.Rule, breach.At.Round(time.Millisecond), breach.Detail))
		}
	}
	plan.Say(fmt.Sprintf("breaches: %d", len(breaches)))
	return len(breaches) == 0 && err == nil, err
}

// serves holds when every data node can pick from every shard of its region.
func (rig *Rig) serves() bool {
	for _, node := range rig.Nodes {
		lapsed, there := rig.Gauge(node.Settings.Data, "shards_lapsed")
		revision, known := rig.Gauge(node.Settings.Data, "manifest_revision")
		if !there || !known || lapsed > 0 || revision == 0 {
			return false
		}
	}
	return true
}

const watchPeriod = 200 * time.Millisecond

// look is what a node's metrics page said of the manifest in force, and when.
type look struct {
	revision int64
	at       time.Duration
}

// looks reads the metrics pages of all nodes side by side; a node that does not answer is left out.
func (rig *Rig) looks() map[string]look {
	seen, lock, group := map[string]look{}, sync.Mutex{}, sync.WaitGroup{}
	for _, node := range rig.Nodes {
		group.Add(1)
		go func() {
			defer group.Done()
			at := rig.now()
			revision, there := rig.Gauge(node.Settings.Data, "manifest_revision")
			if there && revision > 0 {
				lock.Lock()
				defer lock.Unlock()
				seen[node.Machine.Name] = look{revision, at}
			}
		}()
	}
	group.Wait()
	return seen
}

// watch notes which revision each node has in force, and since when a node that is not cut off has had a newer one.
func (rig *Rig) watch(stop chan struct{}) {
	behind := map[string]time.Duration{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(watchPeriod * time.Duration(max(1, len(rig.Nodes)/fewNodes))):
		}
		seen, newest := rig.looks(), int64(0)
		for _, node := range rig.Nodes {
			if len(node.cut) == 0 {
				newest = max(newest, seen[node.Machine.Name].revision)
			}
		}
		for _, node := range rig.Nodes {
			name := node.Machine.Name
			one, there := seen[name]
			since, known := behind[name]
			switch {
			case !there || len(node.cut) > 0 || one.revision >= newest:
				delete(behind, name)
			case !known:
				behind[name] = one.at
			}
			if there && known {
				rig.Ledger.ManifestHeld(name+"-data", one.revision, one.at, one.at-since)
			} else if there {
				rig.Ledger.ManifestHeld(name+"-data", one.revision, one.at, 0)
			}
		}
	}
}

// adoptTime is how long a fleet of few nodes may take from its start until it takes its first manifest.
const adoptTime = 20 * time.Second

// fewNodes is the size of a fleet that is looked at in each watchPeriod; larger ones are looked at less often.
const fewNodes = 12
