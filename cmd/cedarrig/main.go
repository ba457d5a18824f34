// cedarrig runs a whole fleet on one machine, or emulates one in memory, and injects faults. It is a test tool only.
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

// arguments are the command-line flags. Flags that count runs, such as --sweep, select what runs instead of real processes.
type arguments struct {
	Site           string  `long:"site" description:"folder of a deployment, or a site file with --play and --soak" default:"deploy/brazos"`
	Bin            string  `long:"bin" description:"folder of the programs; the folder of cedarrig by default"`
	OtherBin       string  `long:"other-bin" description:"folder of a second build; machines and their restarts alternate between the two"`
	Folder         string  `long:"folder" description:"folder for settings, logs and data; a new temporary folder by default"`
	Seconds        int     `long:"seconds" description:"duration of the traffic in seconds" default:"20"`
	Rate           float64 `long:"rate" description:"factor on the site's call rates" default:"1"`
	Seed           uint64  `long:"seed" description:"seed of the traffic and of the faults" default:"1"`
	Story          string  `long:"story" description:"story to play while traffic runs; 'list' prints the stories" default:"calm"`
	KeepRunning    bool    `long:"stay" description:"keep the fleet running after the traffic until a signal arrives"`
	Machines       int     `long:"machines" description:"minimum number of machines; added ones are not members of the core"`
	SweepDays      int     `long:"sweep" description:"instead of processes, run this many seeded days in memory"`
	FaultCount     int     `long:"faults" description:"number of faults in each day of a sweep" default:"4"`
	FaultName      string  `long:"fault" description:"inject only this fault in a sweep; 'list' prints the faults"`
	SpanSeconds    int     `long:"span" description:"seconds during which faults occur in each day of a sweep" default:"50"`
	Record         string  `long:"record" description:"file to which each day of a sweep is appended; an interrupted sweep resumes from it"`
	Retirements    int     `long:"retire" description:"instead of processes, measure this many seeded server retirements of each cause in memory"`
	LoadSeeds      int     `long:"load" description:"instead of processes, run each load scene in memory with this many seeds"`
	Parallel       int     `long:"beside" description:"number of runs in parallel" default:"8"`
	ExploredStates int64   `long:"explore" description:"instead of processes, check the core in random walks over this many states"`
	EnumerateDepth int     `long:"enumerate" description:"instead of processes, check the core in all traces of up to this many moves, visiting each state once"`
	NodeWalks      int     `long:"nodes" description:"instead of processes, check whole control nodes in this many random walks of --span seconds"`
	Members        []int   `long:"members" description:"number of core members to check; may be repeated" default:"3" default:"5" default:"6"`
	Minutes        int     `long:"minutes" description:"time limit in minutes for a check of the core or of control nodes" default:"30"`
	PlantedFault   string  `long:"plant" description:"inject this fault into the core or nodes being checked; 'list' prints the faults"`
	EmulatedDays   int     `long:"play" description:"instead of processes, emulate this many seeded days of the site file in --site"`
	SoakDays       int     `long:"soak" description:"instead of processes, emulate this many seeded soaks of overlapping series of faults on the site file in --site"`
	GatewaySoaks   int     `long:"gateways" description:"soak real processes as the platform's gateway with this many seeds, each for --seconds"`
	StartSoaks     int     `long:"starts" description:"like --gateways, with troubles at the first start of the fleet and at the starts of its processes"`
	Floods         bool    `long:"floods" description:"with --gateways, --starts or --processes: servers and the list of servers send bytes without end now and then"`
	SiteSoaks      int     `long:"processes" description:"like --gateways, with the shape and the troubles of the site file in --site; odd seeds add those of --starts"`
	Tenants        int     `long:"tenants" description:"with --play and --soak, number of organisations in the configuration, whose keys are added and removed"`
	CompareWith    string  `long:"vs" description:"with --play, compare with a changed setting over the same seeds, for example gateway.repeatRatio=0.1"`
	Oracle         bool    `long:"oracle" description:"with --play, inform all nodes immediately of each lost cache, as an upper bound that the product cannot reach"`
	Plot           string  `long:"plot" description:"output file for the plot of a comparison" default:"target/vs.svg"`
	Trace          bool    `long:"tell" description:"print every state change of emulated runs"`
	Version        bool    `long:"version" description:"print the version and stop"`
}

func main() {
	var args arguments
	parser := flags.NewParser(&args, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.Parse(); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			fmt.Println(flagsErr.Message)
			return
		}
		fmt.Fprintln(os.Stderr, "cedarrig:", err)
		os.Exit(2)
	}
	if args.Version {
		fmt.Println("cedarrig", serve.Version)
		return
	}
	if args.Story == "list" {
		for _, name := range rig.StoryNames() {
			fmt.Println(name)
		}
		return
	}
	if args.FaultName == "list" {
		for _, name := range fleet.FaultNames() {
			fmt.Println(name)
		}
		return
	}
	run := playStory
	if args.SweepDays > 0 {
		run = sweep
	}
	if args.Retirements > 0 {
		run = measureRetirements
	}
	if args.LoadSeeds > 0 {
		run = runLoadScenes
	}
	if args.EmulatedDays > 0 {
		run = emulateDays
	}
	if args.SoakDays > 0 {
		run = emulateSoaks
	}
	switch {
	case args.GatewaySoaks > 0 || args.StartSoaks > 0 || args.SiteSoaks > 0:
		run = soakGateways
	case args.EnumerateDepth > 0:
		run = enumerate
	case args.NodeWalks > 0:
		run = walkNodes
	case args.ExploredStates > 0 || args.PlantedFault != "":
		run = explore
	}
	clean, err := run(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cedarrig:", err)
		os.Exit(1)
	}
	if !clean {
		os.Exit(3)
	}
}

// playStory runs a fleet of real processes with the story that was chosen.
func playStory(args arguments) (bool, error) {
	deployment, err := site.Load(args.Site)
	if err != nil {
		return false, err
	}
	if args.Bin == "" {
		executable, err := os.Executable()
		if err != nil {
			return false, err
		}
		args.Bin = filepath.Dir(executable)
	}
	if args.Folder == "" {
		if args.Folder, err = os.MkdirTemp("", "cedarrig-"); err != nil {
			return false, err
		}
	}
	if deployment, err = deployment.WithMachines(args.Machines); err != nil {
		return false, err
	}
	return rig.Play(rig.Plan{Site: deployment, Bin: args.Bin, OtherBin: args.OtherBin, Folder: args.Folder, Span: time.Duration(args.Seconds) * time.Second,
		Rate: args.Rate, Seed: args.Seed, Story: args.Story, KeepRunning: args.KeepRunning, Log: func(text string) { fmt.Println(text) }})
}
