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

// Plan describes one run of the rig.
type Plan struct {
	// Site is the fleet to run, with its manifest, servers and callers.
	Site site.Site
	// Bin is the folder of the programs.
	Bin string
	// OtherBin is the folder of a second build, for a fleet of mixed versions; empty for one build.
	OtherBin string
	// Folder takes the settings, logs and data of all machines.
	Folder string
	// Span is how long callers start calls; stories scale their pauses by it.
	Span time.Duration
	// Rate multiplies the call rates of the site.
	Rate float64
	// Seed determines the traffic and the random choices of stories.
	Seed uint64
	// Story names what happens while traffic runs; StoryNames lists the names.
	Story string
	// KeepRunning leaves the fleet up after the run until a signal comes.
	KeepRunning bool
	// Log takes the lines of the run's output.
	Log func(string)
}

// story injects faults or operator actions while traffic runs. Its error fails the run.
type story func(rig *Rig, plan Plan) error

// stories holds all stories by name. It is set in init, since some stories play others.
var stories map[string]story

func init() { stories = allStories() }

// StoryNames returns the names of all stories, sorted.
func StoryNames() []string {
	names := []string{}
	for name := range stories {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// playResult holds the return values of a run: whether the ledger found no breach, and the error.
type playResult struct {
	clean bool
	err   error
}

// Play starts a fleet, its callers and the story, and reports whether the run had no breach of the ledger's rules. A SIGINT or SIGTERM ends
// the run with an error; all processes have ended when Play returns.
func Play(plan Plan) (bool, error) {
	runStory, found := stories[plan.Story]
	if !found {
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
	results := make(chan playResult, 1)
	go func() {
		clean, err := rig.run(plan, runStory)
		results <- playResult{clean, err}
	}()
	select {
	case <-signals:
		return false, errors.New("ended by a signal; every process that was started is ended too")
	case result := <-results:
		if plan.KeepRunning && result.err == nil {
			plan.Log("the fleet stays up; end it with a signal")
			<-signals
		}
		return result.clean, result.err
	}
}

// run starts the processes, runs traffic and story, and prints the figures and breaches from the ledger.
func (rig *Rig) run(plan Plan, runStory story) (bool, error) {
	err := error(nil)
	if err = rig.Start(); err != nil {
		return false, err
	}
	if err = rig.InstallManifest(firstManifestLimit * time.Duration(max(1, len(rig.Nodes)/smallFleetNodes))); err != nil {
		return false, err
	}
	plan.Log(fmt.Sprintf("%s: the manifest is in force after %v; settings and logs in %s", plan.Site.Name, rig.now().Round(time.Millisecond), plan.Folder))
	plan.Log("any node answers operators, for example " + rig.Nodes[0].Settings.Control)
	if err = rig.Await("serving", rig.bounds.Return()*time.Duration(max(1, len(rig.Nodes)/smallFleetNodes)), rig.isServing); err != nil {
		return false, err
	}
	traffic := rig.NewTraffic(plan.Seed)
	traffic.Run(plan.Span, plan.Rate)
	stop := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		rig.watchRevisions(stop)
	}()
	err = runStory(rig, plan)
	traffic.Wait()
	close(stop)
	<-watched
	rig.Ledger.Close(rig.now())
	plan.Log(fmt.Sprintf("seed %d story %s\n%s", plan.Seed, plan.Story, rig.Ledger.Stats.Summary()))
	breaches := rig.Ledger.Violations()
	for index, breach := range breaches {
		if index < 20 {
			plan.Log(fmt.Sprintf("BREACH %v at %v: %s", breach.Rule, breach.At.Round(time.Millisecond), breach.Detail))
		}
	}
	plan.Log(fmt.Sprintf("breaches: %d", len(breaches)))
	return len(breaches) == 0 && err == nil, err
}

// isServing reports whether every data node has a manifest and no lapsed shard, so that it can choose servers from every shard of its region.
func (rig *Rig) isServing() bool {
	for _, node := range rig.Nodes {
		lapsed, lapsedFound := rig.Metric(node.Settings.Data, "shards_lapsed")
		revision, revisionFound := rig.Metric(node.Settings.Data, "manifest_revision")
		if !lapsedFound || !revisionFound || lapsed > 0 || revision == 0 {
			return false
		}
	}
	return true
}

// revisionPollInterval is the time between samples of the manifest revisions of a small fleet.
const revisionPollInterval = 200 * time.Millisecond

// revisionSample is the manifest revision that a node reported and when it was asked, since the rig's start.
type revisionSample struct {
	revision int64
	at       time.Duration
}

// sampleRevisions reads the metrics pages of all nodes concurrently and leaves out nodes that don't answer.
func (rig *Rig) sampleRevisions() map[string]revisionSample {
	samples, lock, group := map[string]revisionSample{}, sync.Mutex{}, sync.WaitGroup{}
	for _, node := range rig.Nodes {
		group.Add(1)
		go func() {
			defer group.Done()
			at := rig.now()
			revision, found := rig.Metric(node.Settings.Data, "manifest_revision")
			if found && revision > 0 {
				lock.Lock()
				defer lock.Unlock()
				samples[node.Machine.Name] = revisionSample{revision, at}
			}
		}()
	}
	group.Wait()
	return samples
}

// watchRevisions records in the ledger which manifest revision each node uses, and for how long a node has been behind the newest revision of
// the nodes that are not cut off.
func (rig *Rig) watchRevisions(stop chan struct{}) {
	behindSince := map[string]time.Duration{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(revisionPollInterval * time.Duration(max(1, len(rig.Nodes)/smallFleetNodes))):
		}
		samples, newest := rig.sampleRevisions(), int64(0)
		for _, node := range rig.Nodes {
			if !node.isCutOff() {
				newest = max(newest, samples[node.Machine.Name].revision)
			}
		}
		for _, node := range rig.Nodes {
			name := node.Machine.Name
			sample, found := samples[name]
			since, known := behindSince[name]
			switch {
			case !found || node.isCutOff() || sample.revision >= newest:
				delete(behindSince, name)
			case !known:
				behindSince[name] = sample.at
			}
			if found && known {
				rig.Ledger.ManifestHeld(name+"-data", sample.revision, sample.at, sample.at-since)
			} else if found {
				rig.Ledger.ManifestHeld(name+"-data", sample.revision, sample.at, 0)
			}
		}
	}
}

// firstManifestLimit is how long a small fleet may take from its start until it accepts its first manifest.
const firstManifestLimit = 20 * time.Second

// smallFleetNodes is the size up to which a fleet is small. Time limits and poll intervals grow in proportion for larger ones.
const smallFleetNodes = 12
