package modelcheck

import (
	"fmt"
	"testing"
	"time"
)

const (
	walkSteps = 2000
	// walkMaxStates and walkTimeLimit bound the exploration of a test run; `cedarrig --explore` makes longer ones.
	walkMaxStates = 500_000
	walkTimeLimit = 60 * time.Second
)

func TestNothingBreaks(t *testing.T) {
	summary := Explore(Plan{Seed: 1, Steps: walkSteps, Sizes: []int{3, 5, 6}, MaxStates: walkMaxStates, TimeLimit: walkTimeLimit})
	t.Log(summary)
	if summary.Broken != nil {
		t.Fatal(summary.Broken)
	}
	if summary.Acked == 0 || summary.Reads == 0 || summary.Views == 0 {
		t.Fatal("nothing was explored")
	}
}

// TestPlantedFaultsAreFound checks that a walk with a known seed detects each fault and that its replay shows the same violation. The four
// faults that walks rarely reach are covered in directed_test.go.
func TestPlantedFaultsAreFound(t *testing.T) {
	seeds := map[Fault]uint64{FaultVoteNotSynced: 223, FaultVersionNotSynced: 8, FaultReadWithoutQuorum: 382, FaultAcknowledgedByHead: 1,
		FaultIdentityKeptAfterWipe: 1107, FaultVoteCountedTwice: 21, FaultSameIncarnation: 521, FaultPromiseForgotten: 226}
	for _, fault := range Faults() {
		seed, walked := seeds[fault]
		if !walked {
			continue
		}
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			options := Options{Seed: seed, Members: 3, Steps: walkSteps, Fault: fault}
			found := walkPlanted(t, options, Walk)
			if replayed := Replay(options, found.Actions, found.Start); replayed.Violation != found.Violation {
				t.Fatal("the replay shows something else:", replayed.Violation)
			}
		})
	}
}

// walkPlanted returns a walk with a planted fault, which has to be found, and which has to be without violation when the fault is left out.
func walkPlanted(t *testing.T, options Options, walk func(Options) Result) Result {
	t.Helper()
	withoutFault := options
	withoutFault.Fault = NoFault
	if correct := walk(withoutFault); correct.Violation != "" {
		t.Fatal("without the fault:", correct)
	}
	found := walk(options)
	if found.Violation == "" {
		t.Fatal("not found")
	}
	t.Log(found.Violation)
	return found
}
