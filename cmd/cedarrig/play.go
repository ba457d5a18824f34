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
	mostBreaches = 5
	boxWidth     = vg.Length(14)
	rowHeight    = vg.Length(26)
	plotWidth    = vg.Length(640)
)

// playDays emulates seeded days side by side, prints each one with a broken rule and its replay line, and compares two settings.
func playDays(given arguments) (bool, error) {
	debug.SetGCPercent(sweepGarbage)
	described, failure := emulator.LoadSite(given.Site)
	if failure != nil {
		return false, failure
	}
	described.Tenants = given.Tenants
	changes := []emulator.Change{}
	if given.Vs != "" {
		change, failure := emulator.ReadChange(given.Vs)
		if failure != nil {
			return false, failure
		}
		changes = append(changes, change)
	}
	plan := emulator.Plan{DrawCount: given.Faults}
	if given.Fault != "" {
		plan = emulator.Plan{Troubles: described.TroublesNamed(given.Fault)}
		if len(plan.Troubles) == 0 {
			return false, eris.Errorf("no trouble %q; there are %s", given.Fault, strings.Join(emulator.Kinds(), " "))
		}
	}
	same := func(emulator.Site, uint64) emulator.Plan { return plan }
	first, clean := days(given, described, same, "")
	sumDays(first)
	if given.Vs == "" {
		return clean, nil
	}
	second, also := days(given, described, same, given.Vs, emulator.WithChanges(changes...))
	compare(first, second, given.Vs)
	return clean && also, drawBoxes(given, first, second)
}

// days emulates seeded days side by side, each by the plan of its seed.
func days(given arguments, described emulator.Site, plan func(emulator.Site, uint64) emulator.Plan, setting string, options ...emulator.Option) ([]emulator.Figures, bool) {
	if given.Oracle {
		options = append(options, emulator.WithOracle())
	}
	if given.Tell {
		options = append(options, emulator.WithLog(func(text string) { fmt.Print(text) }))
	}
	figures, clean := make([]emulator.Figures, given.Play), true
	places, lock, group := make(chan int), sync.Mutex{}, sync.WaitGroup{}
	for range given.Beside {
		group.Add(1)
		go func() {
			defer group.Done()
			for place := range places {
				site, seed := described.Scaled(given.Rate, described.TrafficDuration()), given.Seed+uint64(place)
				result := emulator.Play(site, seed, plan(site, seed), options...)
				lock.Lock()
				figures[place] = result.Figures
				if given.Play == 1 {
					fmt.Println(result.Troubles)
					fmt.Print(result.Figures.Text())
				}
				clean = tellDay(given, result, setting) && clean
				lock.Unlock()
			}
		}()
	}
	for place := range given.Play {
		places <- place
	}
	close(places)
	group.Wait()
	return figures, clean
}

func tellDay(given arguments, result emulator.Result, setting string) bool {
	if len(result.Violations) == 0 {
		return true
	}
	fmt.Printf("seed %d %s: %d breaches, troubles %v\n", result.Seed, setting, len(result.Violations), result.Troubles)
	told := map[string]int{}
	for _, breach := range result.Violations {
		if told[breach.Rule]++; told[breach.Rule] <= mostBreaches {
			fmt.Println("  ", breach)
		}
	}
	if given.Soak > 0 {
		fmt.Printf("  replay: cedarrig --soak 1 --seed %d --site %s --span %d --rate %v --tenants %d\n", result.Seed, given.Site, given.Span, given.Rate, given.Tenants)
		return false
	}
	fmt.Printf("  replay: cedarrig --play 1 --seed %d --site %s --faults %d --fault %q --rate %v --tenants %d\n", result.Seed, given.Site, given.Faults, given.Fault, given.Rate, given.Tenants)
	return false
}

func sumDays(all []emulator.Figures) {
	spreads := emulator.Spreads(all)
	fmt.Printf("%d days: median (least to most)\n", len(all))
	for _, name := range manifest.SortedKeys(spreads) {
		fmt.Printf("  %-32s %12.2f (%.2f to %.2f)\n", name, spreads[name][0], spreads[name][1], spreads[name][2])
	}
}

func compare(first, second []emulator.Figures, setting string) {
	one, other := emulator.Spreads(first), emulator.Spreads(second)
	fmt.Printf("as it is, then with %s: median (least to most)\n", setting)
	for _, name := range manifest.SortedKeys(one) {
		fmt.Printf("  %-32s %12.2f (%.2f to %.2f)  %12.2f (%.2f to %.2f)\n", name, one[name][0], one[name][1], one[name][2], other[name][0], other[name][1], other[name][2])
	}
}

// drawBoxes plots every figure of both settings as a part of its median as it is.
func drawBoxes(given arguments, first, second []emulator.Figures) error {
	drawn := plot.New()
	drawn.Title.Text = "as it is (grey), with " + given.Vs + " (blue)"
	drawn.X.Label.Text = "part of the median as it is"
	names, spreads := []string{}, emulator.Spreads(first)
	for _, name := range manifest.SortedKeys(spreads) {
		if middle := spreads[name][0]; middle > 0 {
			place := float64(len(names))
			for side, figures := range [][]emulator.Figures{first, second} {
				values := plotter.Values{}
				for _, day := range figures {
					values = append(values, math.Min(3, day.Values()[name]/middle))
				}
				box, failure := plotter.NewBoxPlot(boxWidth/2, place+0.2-0.4*float64(side), values)
				if failure != nil {
					return eris.Wrap(failure, "plot")
				}
				box.Horizontal, box.FillColor = true, []color.Color{color.Gray{Y: 200}, color.RGBA{R: 120, G: 160, B: 230, A: 255}}[side]
				drawn.Add(box)
			}
			names = append(names, name)
		}
	}
	drawn.NominalY(names...)
	if failure := os.MkdirAll(filepath.Dir(given.Plot), 0o755); failure != nil {
		return eris.Wrap(failure, "plot")
	}
	if failure := drawn.Save(plotWidth, vg.Length(len(names)+2)*rowHeight, given.Plot); failure != nil {
		return eris.Wrap(failure, "plot")
	}
	fmt.Println("plot:", given.Plot)
	return nil
}
