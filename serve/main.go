package serve

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/cedarreel/cedarreel/env"
	"github.com/jessevdk/go-flags"
)

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

const (
	exitFailed = 1
	exitUsage  = 2
)

// Main reads flags and settings and runs one of the two programs.
func Main(program string, run func(env.Env, string) error) {
	catchSignals()
	var given arguments
	parser := flags.NewParser(&given, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = program
	if rest, err := parser.Parse(); err != nil || len(rest) > 0 {
		var asked *flags.Error
		if errors.As(err, &asked) && asked.Type == flags.ErrHelp {
			fmt.Println(asked.Message)
			return
		}
		fail(exitUsage, fmt.Sprint(program, ": ", err, rest))
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
		err = settings.Check()
	}
	if err != nil {
		fail(exitUsage, program+": "+err.Error())
	}
	if given.Check {
		return
	}
	if err = run(settings, given.Faults); err != nil {
		fail(exitFailed, program+": "+err.Error())
	}
}

// heapGrowth is how much of what lives, in hundredths, the heap may grow by before it is collected: on a platform's small machines memory
// costs more than the processor time that this takes. GOGC in the environment of a process wins over it.
const heapGrowth = 40

// MainWith runs one of the two programs where a platform tells it its place.
func MainWith(program string, face Face, run func(Face) error) {
	catchSignals()
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(heapGrowth)
	}
	if failure := run(face); failure != nil {
		fail(exitFailed, program+": "+failure.Error())
	}
}

func fail(code int, text string) {
	fmt.Fprintln(os.Stderr, text)
	os.Exit(code)
}
