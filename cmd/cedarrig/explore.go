package main

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/modelcheck"
	"github.com/cedarreel/cedarreel/nodecheck"
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
		MaxStates: given.Explore, TimeLimit: time.Duration(given.Minutes) * time.Minute})
	fmt.Println(summary)
	return summary.Broken == nil, nil
}

// enumeratedStates is how many states a search may hold.
const enumeratedStates = 2_000_000

// enumerate checks the core in all traces of moves up to a depth, each state visited once.
func enumerate(given arguments) (bool, error) {
	found := modelcheck.Enumerate(modelcheck.Search{Members: coreMembers, Bounds: modelcheck.DefaultBounds(), MaxDepth: given.Depth, MaxStates: enumeratedStates,
		TimeLimit: time.Duration(given.Minutes) * time.Minute, Fault: modelcheck.Fault(given.Plant)})
	fmt.Println(found)
	return found.Violation == "", nil
}

// coreMembers is the size of the core that is searched.
const coreMembers = 3

// walkNodes checks whole control nodes in walks; 'list' names the faults that can be planted in them.
func walkNodes(given arguments) (bool, error) {
	if given.Plant == "list" {
		for _, fault := range nodecheck.Faults() {
			fmt.Println(fault)
		}
		return true, nil
	}
	summary := nodecheck.Explore(nodecheck.Options{Seed: given.Seed, Span: time.Duration(given.Span) * time.Second, Fault: nodecheck.Fault(given.Plant)}, given.Nodes,
		time.Duration(given.Minutes)*time.Minute)
	fmt.Println(summary)
	return summary.Broken == nil, nil
}
