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

const sweepGarbage = 1600

// row is what is kept of one day of a sweep; a sweep that was stopped goes on after the rows of its record.
type row struct {
	Seed     uint64             `json:"seed"`
	Clean    bool               `json:"clean"`
	Ready    bool               `json:"ready"`
	Serves   bool               `json:"serves"`
	Faults   []string           `json:"faults"`
	Breaches []ledger.Violation `json:"breaches,omitempty"`
	Worst    ledger.Stats       `json:"worst"`
	Outcomes map[string]int     `json:"outcomes"`
	Hits     int                `json:"hits"`
	Asked    int                `json:"asked"`
	Turns    int                `json:"turns"`
	Kept     int                `json:"kept"`
	Records  int64              `json:"records"`
}

func rowOf(round fleet.DayResult) row {
	kept := row{Seed: round.Seed, Clean: round.Clean(), Ready: round.Ready, Serves: round.Serves, Faults: round.Faults, Breaches: round.Violations,
		Worst: round.Stats, Outcomes: map[string]int{}, Hits: round.PrefixHits, Asked: round.PrefixCalls, Turns: round.SessionTurns, Kept: round.SameServerTurns, Records: round.Records}
	for _, class := range round.Stats.Classes {
		for outcome, count := range class.Outcomes {
			kept.Outcomes[outcome] += count
		}
	}
	kept.Worst.Classes = nil
	return kept
}

// sweep plays many seeded days in memory, side by side, and prints every seed that was not clean with its replay line.
func sweep(given arguments) (bool, error) {
	debug.SetGCPercent(sweepGarbage)
	described, err := site.Load(given.Site)
	if err != nil {
		return false, err
	}
	rows, known := []row{}, map[uint64]bool{}
	var record *os.File
	if given.Record != "" {
		if rows, record, err = recorded(given.Record); err != nil {
			return false, err
		}
		defer record.Close()
	}
	for _, kept := range rows {
		known[kept.Seed] = true
	}
	plan := fleet.DayPlan{Span: time.Duration(given.Span) * time.Second, Rate: given.Rate, Faults: given.Faults, Name: given.Fault}
	seeds, rounds := make(chan uint64), make(chan fleet.DayResult)
	group := sync.WaitGroup{}
	for range given.Beside {
		group.Add(1)
		go func() {
			defer group.Done()
			for seed := range seeds {
				rounds <- day(given, described, seed, plan)
			}
		}()
	}
	go func() {
		for offset := range given.Sweep {
			if seed := given.Seed + uint64(offset); !known[seed] {
				seeds <- seed
			}
		}
		close(seeds)
		group.Wait()
		close(rounds)
	}()
	for round := range rounds {
		if given.Sweep == 1 {
			fmt.Println(round.Stats.Summary())
		}
		kept := rowOf(round)
		kept.tell(given)
		if rows = append(rows, kept); record != nil {
			if err = json.NewEncoder(record).Encode(kept); err != nil {
				return false, err
			}
		}
	}
	return sum(given, rows), nil
}

func recorded(path string) ([]row, *os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return nil, nil, err
	}
	rows, lines := []row{}, bufio.NewScanner(file)
	lines.Buffer(nil, 1<<24)
	for lines.Scan() {
		var kept row
		if json.Unmarshal(lines.Bytes(), &kept) == nil {
			rows = append(rows, kept)
		}
	}
	return rows, file, lines.Err()
}

func day(given arguments, described site.Site, seed uint64, plan fleet.DayPlan) fleet.DayResult {
	options := []fleet.Option{}
	if given.Tell {
		options = append(options, fleet.WithLogSink(func(text string) { fmt.Print(text) }))
	}
	return fleet.Day(described, seed, plan, options...)
}

func (kept row) tell(given arguments) {
	if kept.Clean {
		return
	}
	fmt.Printf("seed %d: ready=%v serves again=%v breaches=%d faults=%v\n", kept.Seed, kept.Ready, kept.Serves, len(kept.Breaches), kept.Faults)
	for index, breach := range kept.Breaches {
		if index < 3 {
			fmt.Printf("  %v at %v: %s\n", breach.Rule, breach.At.Round(time.Millisecond), breach.Detail)
		}
	}
	fmt.Printf("  replay: cedarrig --site %s --sweep 1 --seed %d --faults %d --fault %q --rate %v --span %d --tell\n", given.Site, kept.Seed, given.Faults, given.Fault, given.Rate, given.Span)
}

// sum prints the worst and the totals of all days, with what the checker let pass.
func sum(given arguments, rows []row) bool {
	unclean, worst, total := 0, ledger.Stats{}, row{Outcomes: map[string]int{}}
	excuses := map[string]int{}
	for _, kept := range rows {
		if !kept.Clean {
			unclean++
		}
		worst.MergeMaxima(kept.Worst)
		total.Hits, total.Asked = total.Hits+kept.Hits, total.Asked+kept.Asked
		total.Turns, total.Kept = total.Turns+kept.Turns, total.Kept+kept.Kept
		total.Records = max(total.Records, kept.Records)
		for outcome, count := range kept.Outcomes {
			total.Outcomes[outcome] += count
		}
		for cause, count := range kept.Worst.Excuses {
			excuses[cause] += count
		}
	}
	fmt.Printf("%d seeds from %d, %d faults each %s: %d not clean\n", len(rows), given.Seed, given.Faults, given.Fault, unclean)
	fmt.Printf("worst: late pick=%v late drain=%v manifest lag=%v return=%v cold share=%.2f repeats=%.2f%% window=%.2f records left=%d\n", worst.LatePick.Round(time.Millisecond),
		worst.LateDrain.Round(time.Millisecond), worst.Lag.Round(time.Millisecond), worst.Return.Round(time.Millisecond), worst.ColdShare, worst.RepeatPct, worst.Window, total.Records)
	fmt.Printf("prefixes held: %d of %d, sessions kept: %d of %d\noutcomes: %v\n", total.Hits, total.Asked, total.Kept, total.Turns, total.Outcomes)
	for _, cause := range manifest.SortedKeys(excuses) {
		fmt.Printf("excused: %d times %s\n", excuses[cause], cause)
	}
	return unclean == 0
}
