// cedarrig plays a whole fleet on one machine and breaks it; it is for tests only.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/rig"
	"github.com/cedarreel/cedarreel/serve"
	"github.com/cedarreel/cedarreel/site"
	"github.com/jessevdk/go-flags"
)

type arguments struct {
	Site     string  `long:"site" description:"folder of a deployment, or its file with --play" default:"deploy/brazos"`
	Bin      string  `long:"bin" description:"folder of the programs; beside cedarrig when not given"`
	OtherBin string  `long:"other-bin" description:"folder of another build; machines and their restarts alternate between the two"`
	Folder   string  `long:"folder" description:"folder for settings, logs and data; a new temporary one when not given"`
	Seconds  int     `long:"seconds" description:"how long traffic runs" default:"20"`
	Rate     float64 `long:"rate" description:"traffic as a part of the site's" default:"1"`
	Seed     uint64  `long:"seed" description:"seed of the traffic and of the faults" default:"1"`
	Story    string  `long:"story" description:"what happens while traffic runs; 'list' names the stories" default:"calm"`
	Stay     bool    `long:"stay" description:"after the traffic, leave the fleet up until a signal comes"`
	Machines int     `long:"machines" description:"how many machines the deployment has at least; those that are added hold nothing of the core"`
	Sweep    int     `long:"sweep" description:"instead of processes, play so many seeded days in memory"`
	Faults   int     `long:"faults" description:"faults in each day of a sweep" default:"4"`
	Fault    string  `long:"fault" description:"play this fault alone in a sweep; 'list' names them"`
	Span     int     `long:"span" description:"seconds of trouble in each day of a sweep" default:"50"`
	Record   string  `long:"record" description:"file that takes each day of a sweep; a sweep that was stopped goes on after it"`
	Retire   int     `long:"retire" description:"instead of processes, measure so many seeded retirements of each cause in memory"`
	Load     int     `long:"load" description:"instead of processes, play each scene of load in memory with so many seeds"`
	Beside   int     `long:"beside" description:"days of a sweep played side by side" default:"8"`
	Explore  int64   `long:"explore" description:"instead of processes, check the core in random walks of so many states"`
	Depth    int     `long:"enumerate" description:"instead of processes, check the core in all traces of up to so many moves, each state once"`
	Nodes    int     `long:"nodes" description:"instead of processes, check whole control nodes in so many walks of --span seconds"`
	Members  []int   `long:"members" description:"members of the core that is checked, one size each time it is given" default:"3" default:"5" default:"6"`
	Minutes  int     `long:"minutes" description:"how long a check of the core may take" default:"30"`
	Plant    string  `long:"plant" description:"plant this fault in the core that is checked; 'list' names them"`
	Play     int     `long:"play" description:"instead of processes, emulate so many seeded days of the site file that --site names"`
	Soak     int     `long:"soak" description:"instead of processes, emulate so many seeded long days of overlapping series of troubles on the site file that --site names"`
	Tenants  int     `long:"tenants" description:"with --play and --soak, how many organisations the configuration names, whose keys come and go"`
	Vs       string  `long:"vs" description:"with --play, compare with another setting of the product over the same seeds: gateway.repeatRatio=0.1"`
	Oracle   bool    `long:"oracle" description:"with --play, tell all nodes at once of each cache that is lost, as nothing in the product can"`
	Plot     string  `long:"plot" description:"file that takes the plot of a comparison" default:"target/vs.svg"`
	Tell     bool    `long:"tell" description:"print every change of state in a sweep"`
	Version  bool    `long:"version" description:"print the version and stop"`
}

func main() {
	var given arguments
	parser := flags.NewParser(&given, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.Parse(); err != nil {
		var asked *flags.Error
		if errors.As(err, &asked) && asked.Type == flags.ErrHelp {
			fmt.Println(asked.Message)
			return
		}
		fmt.Fprintln(os.Stderr, "cedarrig:", err)
		os.Exit(2)
	}
	if given.Version {
		fmt.Println("cedarrig", serve.Version)
		return
	}
	if given.Story == "list" {
		for _, name := range rig.StoryNames() {
			fmt.Println(name)
		}
		return
	}
	if given.Fault == "list" {
		for _, name := range fleet.FaultNames() {
			fmt.Println(name)
		}
		return
	}
	run := play
	if given.Sweep > 0 {
		run = sweep
	}
	if given.Retire > 0 {
		run = retirements
	}
	if given.Load > 0 {
		run = loads
	}
	if given.Play > 0 {
		run = playDays
	}
	if given.Soak > 0 {
		run = soakDays
	}
	switch {
	case given.Depth > 0:
		run = enumerate
	case given.Nodes > 0:
		run = walkNodes
	case given.Explore > 0 || given.Plant != "":
		run = explore
	}
	clean, err := run(given)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cedarrig:", err)
		os.Exit(1)
	}
	if !clean {
		os.Exit(3)
	}
}

func play(given arguments) (bool, error) {
	described, err := site.Load(given.Site)
	if err != nil {
		return false, err
	}
	if given.Bin == "" {
		own, err := os.Executable()
		if err != nil {
			return false, err
		}
		given.Bin = filepath.Dir(own)
	}
	if given.Folder == "" {
		if given.Folder, err = os.MkdirTemp("", "cedarrig-"); err != nil {
			return false, err
		}
	}
	if described, err = described.WithMachines(given.Machines); err != nil {
		return false, err
	}
	return rig.Play(rig.Plan{Site: described, Bin: given.Bin, OtherBin: given.OtherBin, Folder: given.Folder, Span: time.Duration(given.Seconds) * time.Second,
		Rate: given.Rate, Seed: given.Seed, Story: given.Story, Stay: given.Stay, Say: func(text string) { fmt.Println(text) }})
}
