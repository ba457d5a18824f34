package main

import (
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"

	"github.com/cedarreel/cedarreel/emulator"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	// maxPrintedBreaches bounds the printed breaches of one rule in one day.
	maxPrintedBreaches = 5
	// Sizes of the plot in points.
	boxWidth  = vg.Length(14)
	rowHeight = vg.Length(26)
	plotWidth = vg.Length(640)
)

// emulateDays emulates seeded days in parallel, prints each day that broke a rule with its replay line, and compares two settings if asked to.
func emulateDays(args arguments) (bool, error) {
	debug.SetGCPercent(gcPercent)
	model, err := emulator.LoadSite(args.Site)
	if err != nil {
		return false, err
	}
	model.Tenants = args.Tenants
	changes := []emulator.Change{}
	if args.CompareWith != "" {
		change, err := emulator.ReadChange(args.CompareWith)
		if err != nil {
			return false, err
		}
		changes = append(changes, change)
	}
	plan := emulator.Plan{DrawCount: args.FaultCount}
	if args.FaultName != "" {
		plan = emulator.Plan{Troubles: model.TroublesNamed(args.FaultName)}
		if len(plan.Troubles) == 0 {
			return false, eris.Errorf("no trouble %q; there are %s", args.FaultName, strings.Join(emulator.Kinds(), " "))
		}
	}
	samePlan := func(emulator.Site, uint64) emulator.Plan { return plan }
	baseline, clean := runDays(args, model, samePlan, "")
	printSpreads(baseline)
	if args.CompareWith == "" {
		return clean, nil
	}
	changed, changedClean := runDays(args, model, samePlan, args.CompareWith, emulator.WithChanges(changes...))
	printComparison(baseline, changed, args.CompareWith)
	return clean && changedClean, plotComparison(args, baseline, changed)
}

// runDays emulates seeded days in parallel, each with the plan for its seed, and returns the figures of each and whether no rule was broken.
func runDays(args arguments, model emulator.Site, plan func(emulator.Site, uint64) emulator.Plan, setting string, options ...emulator.Option) ([]emulator.Figures, bool) {
	if args.Oracle {
		options = append(options, emulator.WithOracle())
	}
	if args.Trace {
		options = append(options, emulator.WithLog(func(text string) { fmt.Print(text) }))
	}
	figures, clean := make([]emulator.Figures, args.EmulatedDays), true
	indexes, lock, group := make(chan int), sync.Mutex{}, sync.WaitGroup{}
	for range args.Parallel {
		group.Add(1)
		go func() {
			defer group.Done()
			for index := range indexes {
				site, seed := model.Scaled(args.Rate, model.TrafficDuration()), args.Seed+uint64(index)
				result := emulator.Play(site, seed, plan(site, seed), options...)
				lock.Lock()
				figures[index] = result.Figures
				if args.EmulatedDays == 1 {
					fmt.Println(result.Troubles)
					fmt.Print(result.Figures.Text())
				}
				clean = printDay(args, result, setting) && clean
				lock.Unlock()
			}
		}()
	}
	for index := range args.EmulatedDays {
		indexes <- index
	}
	close(indexes)
	group.Wait()
	return figures, clean
}

// printDay prints the breaches of a day and its replay line, and reports whether there were none.
func printDay(args arguments, result emulator.Result, setting string) bool {
	if len(result.Violations) == 0 {
		return true
	}
	fmt.Printf("seed %d %s: %d breaches, troubles %v\n", result.Seed, setting, len(result.Violations), result.Troubles)
	printed := map[string]int{}
	for _, breach := range result.Violations {
		if printed[breach.Rule]++; printed[breach.Rule] <= maxPrintedBreaches {
			fmt.Println("  ", breach)
		}
	}
	if args.SoakDays > 0 {
		fmt.Printf("  replay: cedarrig --soak 1 --seed %d --site %s --span %d --rate %v --tenants %d\n", result.Seed, args.Site, args.SpanSeconds, args.Rate, args.Tenants)
		return false
	}
	fmt.Printf("  replay: cedarrig --play 1 --seed %d --site %s --faults %d --fault %q --rate %v --tenants %d\n", result.Seed, args.Site, args.FaultCount, args.FaultName, args.Rate, args.Tenants)
	return false
}

// printSpreads prints the median, least and greatest value of each figure.
func printSpreads(days []emulator.Figures) {
	spreads := emulator.Spreads(days)
	fmt.Printf("%d days: median (least to most)\n", len(days))
	for _, name := range manifest.SortedKeys(spreads) {
		fmt.Printf("  %-32s %12.2f (%.2f to %.2f)\n", name, spreads[name][0], spreads[name][1], spreads[name][2])
	}
}

// printComparison prints the spreads of each figure under both settings side by side.
func printComparison(baseline, changed []emulator.Figures, setting string) {
	baselineSpreads, changedSpreads := emulator.Spreads(baseline), emulator.Spreads(changed)
	fmt.Printf("as it is, then with %s: median (least to most)\n", setting)
	for _, name := range manifest.SortedKeys(baselineSpreads) {
		fmt.Printf("  %-32s %12.2f (%.2f to %.2f)  %12.2f (%.2f to %.2f)\n", name, baselineSpreads[name][0], baselineSpreads[name][1], baselineSpreads[name][2], changedSpreads[name][0], changedSpreads[name][1], changedSpreads[name][2])
	}
}

// plotComparison draws box plots of every figure under both settings, relative to its median under the unchanged setting.
func plotComparison(args arguments, baseline, changed []emulator.Figures) error {
	chart := plot.New()
	chart.Title.Text = "as it is (grey), with " + args.CompareWith + " (blue)"
	chart.X.Label.Text = "part of the median as it is"
	names, spreads := []string{}, emulator.Spreads(baseline)
	for _, name := range manifest.SortedKeys(spreads) {
		if median := spreads[name][0]; median > 0 {
			row := float64(len(names))
			for side, figures := range [][]emulator.Figures{baseline, changed} {
				values := plotter.Values{}
				for _, day := range figures {
					values = append(values, math.Min(3, day.Values()[name]/median))
				}
				box, err := plotter.NewBoxPlot(boxWidth/2, row+0.2-0.4*float64(side), values)
				if err != nil {
					return eris.Wrap(err, "plot")
				}
				box.Horizontal, box.FillColor = true, []color.Color{color.Gray{Y: 200}, color.RGBA{R: 120, G: 160, B: 230, A: 255}}[side]
				chart.Add(box)
			}
			names = append(names, name)
		}
	}
	chart.NominalY(names...)
	if err := os.MkdirAll(filepath.Dir(args.Plot), 0o755); err != nil {
		return eris.Wrap(err, "plot")
	}
	if err := chart.Save(plotWidth, vg.Length(len(names)+2)*rowHeight, args.Plot); err != nil {
		return eris.Wrap(err, "plot")
	}
	fmt.Println("plot:", args.Plot)
	return nil
}
