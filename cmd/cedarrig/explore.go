package main

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/modelcheck"
)

// walkSteps is how many actions a walk has after the core came up.
const walkSteps = 2000

// explore checks the core in random walks and prints what was explored, and a replay of the walk that broke something.
func explore(given arguments) (bool, error) {
	if given.Plant == "list" {
		for _, fault := range modelcheck.Faults() {
			fmt.Println(fault)
		}
		return true, nil
	}
	summary := modelcheck.Explore(modelcheck.Plan{Seed: given.Seed, Steps: walkSteps, Sizes: given.Members, Fault: modelcheck.Fault(given.Plant),
		States: given.Explore, Within: time.Duration(given.Minutes) * time.Minute})
	fmt.Println(summary)
	return summary.Broken == nil, nil
}
