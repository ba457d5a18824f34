package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/ledger"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/site"
)

// gcPercent is the garbage collection target of runs in memory.
const gcPercent = 1600

// dayRecord is the recorded result of one day of a sweep. An interrupted sweep skips the seeds in its record file.
type dayRecord struct {
	Seed  uint64 `json:"seed"`
	Clean bool   `json:"clean"`
	// Ready says that the fleet came up, ServesAgain that it served after the faults.
	Ready       bool               `json:"ready"`
	ServesAgain bool               `json:"serves"`
	Faults      []string           `json:"faults"`
	Breaches    []ledger.Violation `json:"breaches,omitempty"`
	// Worst holds the figures of the day, Outcomes the number of calls with each outcome.
	Worst    ledger.Stats   `json:"worst"`
	Outcomes map[string]int `json:"outcomes"`
	// PrefixHits of PrefixLookups calls met a cached prefix, and SessionsKept of SessionTurns turns stayed with their session's server.
	PrefixHits    int `json:"hits"`
	PrefixLookups int `json:"asked"`
	SessionTurns  int `json:"turns"`
	SessionsKept  int `json:"kept"`
	// Records is the largest number of records that a data node held at the end.
	Records int64 `json:"records"`
}

// newDayRecord summarises one day: outcomes are added up over all call classes, whose own figures are dropped.
func newDayRecord(round fleet.Round) dayRecord {
	record := dayRecord{Seed: round.Seed, Clean: round.Clean(), Ready: round.Ready, ServesAgain: round.Serves, Faults: round.Faults, Breaches: round.Breaches,
		Worst: round.Figures, Outcomes: map[string]int{}, PrefixHits: round.Hits, PrefixLookups: round.Asked, SessionTurns: round.Turns, SessionsKept: round.Kept, Records: round.Records}
	for _, class := range round.Figures.Classes {
		for outcome, count := range class.Outcomes {
			record.Outcomes[outcome] += count
		}
	}
	record.Worst.Classes = nil
	return record
}

// sweep runs many seeded days in memory in parallel and prints every seed that broke a rule with its replay line.
func sweep(args arguments) (bool, error) {
	debug.SetGCPercent(gcPercent)
	deployment, err := site.Load(args.Site)
	if err != nil {
		return false, err
	}
	records, recordedSeeds := []dayRecord{}, map[uint64]bool{}
	var recordFile *os.File
	if args.Record != "" {
		if records, recordFile, err = openRecord(args.Record); err != nil {
			return false, err
		}
		defer recordFile.Close()
	}
	for _, record := range records {
		recordedSeeds[record.Seed] = true
	}
	plan := fleet.Plan{Span: time.Duration(args.SpanSeconds) * time.Second, Rate: args.Rate, Faults: args.FaultCount, Name: args.FaultName}
	seeds, rounds := make(chan uint64), make(chan fleet.Round)
	group := sync.WaitGroup{}
	for range args.Parallel {
		group.Add(1)
		go func() {
			defer group.Done()
			for seed := range seeds {
				rounds <- runSweepDay(args, deployment, seed, plan)
			}
		}()
	}
	go func() {
		for offset := range args.SweepDays {
			if seed := args.Seed + uint64(offset); !recordedSeeds[seed] {
				seeds <- seed
			}
		}
		close(seeds)
		group.Wait()
		close(rounds)
	}()
	for round := range rounds {
		if args.SweepDays == 1 {
			fmt.Println(round.Figures.Summary())
		}
		record := newDayRecord(round)
		record.print(args)
		if records = append(records, record); recordFile != nil {
			if err = json.NewEncoder(recordFile).Encode(record); err != nil {
				return false, err
			}
		}
	}
	return printTotals(args, records), nil
}

// openRecord reads the records of an earlier sweep and opens the file for appending. Lines that cannot be parsed are skipped.
func openRecord(path string) ([]dayRecord, *os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return nil, nil, err
	}
	records, lines := []dayRecord{}, bufio.NewScanner(file)
	lines.Buffer(nil, 1<<24)
	for lines.Scan() {
		var record dayRecord
		if json.Unmarshal(lines.Bytes(), &record) == nil {
			records = append(records, record)
		}
	}
	return records, file, lines.Err()
}

// runSweepDay runs one day in memory, printing state changes if asked to.
func runSweepDay(args arguments, deployment site.Site, seed uint64, plan fleet.Plan) fleet.Round {
	options := []fleet.Option{}
	if args.Trace {
		options = append(options, fleet.WithTell(func(text string) { fmt.Print(text) }))
	}
	return fleet.Day(deployment, seed, plan, options...)
}

// print prints the breaches of an unclean day and its replay line.
func (record dayRecord) print(args arguments) {
	if record.Clean {
		return
	}
	fmt.Printf("seed %d: ready=%v serves again=%v breaches=%d faults=%v\n", record.Seed, record.Ready, record.ServesAgain, len(record.Breaches), record.Faults)
	for index, breach := range record.Breaches {
		if index < 3 {
			fmt.Printf("  %v at %v: %s\n", breach.Rule, breach.At.Round(time.Millisecond), breach.Detail)
		}
	}
	fmt.Printf("  replay: cedarrig --site %s --sweep 1 --seed %d --faults %d --fault %q --rate %v --span %d --tell\n", args.Site, record.Seed, args.FaultCount, args.FaultName, args.Rate, args.SpanSeconds)
}

// printTotals prints the worst figures and the totals of all days and the deviations that the checker excused, and reports whether all days
// were clean.
func printTotals(args arguments, records []dayRecord) bool {
	unclean, worst, total := 0, ledger.Stats{}, dayRecord{Outcomes: map[string]int{}}
	excuses := map[string]int{}
	for _, record := range records {
		if !record.Clean {
			unclean++
		}
		worst.MergeMaxima(record.Worst)
		total.PrefixHits, total.PrefixLookups = total.PrefixHits+record.PrefixHits, total.PrefixLookups+record.PrefixLookups
		total.SessionTurns, total.SessionsKept = total.SessionTurns+record.SessionTurns, total.SessionsKept+record.SessionsKept
		total.Records = max(total.Records, record.Records)
		for outcome, count := range record.Outcomes {
			total.Outcomes[outcome] += count
		}
		for cause, count := range record.Worst.Excuses {
			excuses[cause] += count
		}
	}
	fmt.Printf("%d seeds from %d, %d faults each %s: %d not clean\n", len(records), args.Seed, args.FaultCount, args.FaultName, unclean)
	fmt.Printf("worst: late pick=%v late drain=%v manifest lag=%v return=%v cold share=%.2f repeats=%.2f%% window=%.2f records left=%d\n", worst.LatePick.Round(time.Millisecond),
		worst.LateDrain.Round(time.Millisecond), worst.Lag.Round(time.Millisecond), worst.Return.Round(time.Millisecond), worst.ColdShare, worst.RepeatPct, worst.Window, total.Records)
	fmt.Printf("prefixes held: %d of %d, sessions kept: %d of %d\noutcomes: %v\n", total.PrefixHits, total.PrefixLookups, total.SessionsKept, total.SessionTurns, total.Outcomes)
	for _, cause := range manifest.SortedKeys(excuses) {
		fmt.Printf("excused: %d times %s\n", excuses[cause], cause)
	}
	return unclean == 0
}
