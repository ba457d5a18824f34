package main

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/modelcheck"
	"github.com/cedarreel/cedarreel/nodecheck"
)

// walkSteps is the number of actions in each walk after the core has formed.
const walkSteps = 2000

// explore checks the core in random walks and prints a summary, with a replay line for a walk that broke a rule.
func explore(args arguments) (bool, error) {
	if args.PlantedFault == "list" {
		for _, fault := range modelcheck.Faults() {
			fmt.Println(fault)
		}
		return true, nil
	}
	summary := modelcheck.Explore(modelcheck.Plan{Seed: args.Seed, Steps: walkSteps, Sizes: args.Members, Fault: modelcheck.Fault(args.PlantedFault),
		MaxStates: args.ExploredStates, TimeLimit: time.Duration(args.Minutes) * time.Minute})
	fmt.Println(summary)
	return summary.Broken == nil, nil
}

// maxEnumeratedStates bounds the states that an exhaustive search holds.
const maxEnumeratedStates = 2_000_000

// enumerate checks the core in all traces of moves up to a depth, visiting each state once.
func enumerate(args arguments) (bool, error) {
	result := modelcheck.Enumerate(modelcheck.Search{Members: enumeratedMembers, Bounds: modelcheck.DefaultBounds(), MaxDepth: args.EnumerateDepth, MaxStates: maxEnumeratedStates,
		TimeLimit: time.Duration(args.Minutes) * time.Minute, Fault: modelcheck.Fault(args.PlantedFault)})
	fmt.Println(result)
	return result.Violation == "", nil
}

// enumeratedMembers is the size of the core in an exhaustive search.
const enumeratedMembers = 3

// walkNodes checks whole control nodes in random walks, or lists the faults that can be injected into them.
func walkNodes(args arguments) (bool, error) {
	if args.PlantedFault == "list" {
		for _, fault := range nodecheck.Faults() {
			fmt.Println(fault)
		}
		return true, nil
	}
	summary := nodecheck.Explore(nodecheck.Options{Seed: args.Seed, Span: time.Duration(args.SpanSeconds) * time.Second, Fault: nodecheck.Fault(args.PlantedFault)}, args.NodeWalks,
		time.Duration(args.Minutes)*time.Minute)
	fmt.Println(summary)
	return summary.Broken == nil, nil
}
