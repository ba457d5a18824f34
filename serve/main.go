package serve

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/cedarreel/cedarreel/env"
	"github.com/jessevdk/go-flags"
)

// arguments are the command-line flags of both programs.
type arguments struct {
	Env      string   `long:"env" description:"settings file (JSON); flags win over it"`
	Name     string   `long:"name" description:"this machine's name"`
	Zone     string   `long:"zone" description:"this machine's zone"`
	Region   string   `long:"region" description:"this machine's region"`
	Control  string   `long:"control" description:"address of cedarcp, IP:port"`
	Data     string   `long:"data" description:"address of cedardp, IP:port"`
	Seeds    []string `long:"seed" description:"address of a process to start from; three of them"`
	Folder   string   `long:"folder" description:"data folder; a machine with one is a core machine"`
	Platform string   `long:"platform" description:"the platform's address, http://IP:port"`
	Faults   string   `long:"faults" description:"file of faults to play, for the test rig alone"`
	Check    bool     `long:"check" description:"check the settings and stop"`
	Version  bool     `long:"version" description:"print the version and stop"`
}

// Exit codes of the programs.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Main reads the flags and settings of a program and calls run with the settings and the path of the faults file. It exits on errors.
func Main(program string, signals Signals, run func(env.Env, string) error) {
	signals.use()
	var given arguments
	parser := flags.NewParser(&given, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = program
	if rest, err := parser.Parse(); err != nil || len(rest) > 0 {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			fmt.Println(flagsErr.Message)
			return
		}
		exit(exitUsage, fmt.Sprint(program, ": ", err, rest))
	}
	if given.Version {
		fmt.Println(program, Version)
		return
	}
	options := []env.Option{env.WithName(given.Name), env.WithZone(given.Zone), env.WithRegion(given.Region), env.WithControl(given.Control),
		env.WithData(given.Data), env.WithFolder(given.Folder), env.WithPlatform(given.Platform), env.WithSeeds(given.Seeds)}
	settings, err := env.New(options...), error(nil)
	if given.Env != "" {
		settings, err = env.Load(given.Env, options...)
	} else {
		err = settings.Validate()
	}
	if err != nil {
		exit(exitUsage, program+": "+err.Error())
	}
	if given.Check {
		return
	}
	exitOnError(program, run(settings, given.Faults))
}

// exitOnError ends the process if it failed. A stop before the start was complete is no failure.
func exitOnError(program string, err error) {
	if err != nil && !errors.Is(err, errStopped) {
		exit(exitFailed, program+": "+err.Error())
	}
}

// heapGrowthPercent is the default of GOGC on a platform. It is lower than Go's, since on small machines memory costs more than the CPU
// time of garbage collection.
const heapGrowthPercent = 40

// softMemoryShare is the share of its memory from which on a process collects garbage more often. The program itself takes a part too.
const softMemoryShare = 5.0 / 8

// limitMemory sets the soft memory limit of the runtime, unless GOMEMLIMIT does.
func limitMemory(bytes int64) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(bytes) * softMemoryShare))
	}
}

// MainWithAdapter runs a program that gets its settings from a platform through an adapter. It exits on errors.
func MainWithAdapter(program string, signals Signals, adapter Adapter, run func(Adapter) error) {
	signals.use()
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(heapGrowthPercent)
	}
	exitOnError(program, run(adapter))
}

// exit prints an error and ends the process.
func exit(code int, text string) {
	fmt.Fprintln(os.Stderr, text)
	os.Exit(code)
}
