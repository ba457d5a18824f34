package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/hollow"
	"github.com/rotisserie/eris"
)

const (
	hollowGarbage = 400
	hollowMemory  = 8 << 30
)

// hollowFleets plays fleets of several sizes without servers and callers and keeps what they cost.
func hollowFleets(given arguments) (bool, error) {
	debug.SetGCPercent(hollowGarbage)
	debug.SetMemoryLimit(hollowMemory)
	sweep := hollow.Sweep{Vary: given.Vary, Scene: given.Scene, Warmup: given.Warmup, Command: "cedarrig " + strings.Join(os.Args[1:], " ")}
	clean := true
	for _, text := range strings.Split(given.Hollow, ",") {
		value, failure := strconv.Atoi(strings.TrimSpace(text))
		if failure != nil || value < 0 {
			return false, eris.Errorf("hollow: want sizes with commas between, got %q", text)
		}
		for seed := range given.Seeds {
			plan, failure := hollow.Vary(hollow.Base(), given.Vary, value)
			if failure != nil {
				return false, failure
			}
			plan.Span, plan.Scene, plan.Seed, plan.Warmup = time.Duration(given.Seconds)*time.Second, given.Scene, given.Seed+uint64(seed), given.Warmup
			result := hollow.Play(plan)
			fmt.Println(result.Text())
			clean = clean && result.Stopped == ""
			sweep.Results, sweep.Values = append(sweep.Results, result), append(sweep.Values, float64(value))
		}
	}
	sweep.Fitted()
	for _, fit := range sweep.Fits {
		if !strings.Contains(fit.Figure, "/") {
			fmt.Printf("%-28s slope %.4g (%.4g to %.4g) base %.4g exponent %.2f r squared %.3f, at plan %.4g\n", fit.Figure, fit.Slope, fit.Least, fit.Most, fit.Base, fit.Exponent, fit.Share, fit.AtPlan)
		}
	}
	if given.Out == "" {
		return clean, nil
	}
	return clean, sweep.Write(given.Out)
}

// capacity fits what the runs of a folder cost and tells it at the size planned for.
func capacity(given arguments) (bool, error) {
	explained, failure := hollow.Model(given.Capacity, given.Routes)
	for _, one := range explained {
		fmt.Println(one.Text())
	}
	return true, failure
}
