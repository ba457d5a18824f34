package modelcheck

import (
	"testing"
	"time"
)

const (
	enumeratedDepth  = 3
	enumeratedStates = 100_000
	enumeratedTime   = 90 * time.Second
)

func TestEnumeration(t *testing.T) {
	found := Enumerate(Search{Members: 3, Bounds: DefaultBounds(), Depth: enumeratedDepth, States: enumeratedStates, Within: enumeratedTime})
	t.Log(found)
	if found.Violation != "" {
		t.Fatal(found)
	}
	if found.Depth < enumeratedDepth-1 {
		t.Fatal("too little was searched:", found)
	}
}

// TestPlantedFaultsAreEnumerated wants faults to be found by the systematic search: within its bounds at a depth of two, or at a larger depth
// within a part of its bounds.
func TestPlantedFaultsAreEnumerated(t *testing.T) {
	stale := Bounds{budgetWrites: 1, budgetReads: 1, budgetCuts: 1, budgetHeals: 1}
	searches := map[Fault]Search{
		FaultVersionNotSynced: {Bounds: DefaultBounds(), Depth: 2},
		FaultAckedAtHead:      {Bounds: DefaultBounds(), Depth: 2},
		FaultCountedEarly:     {Bounds: DefaultBounds(), Depth: 2},
		FaultIdentityKept:     {Bounds: DefaultBounds(), Depth: 2},
		FaultNoLogMatching:    {Bounds: DefaultBounds(), Depth: 2},
		FaultReadAlone:        {Bounds: stale, Depth: 3},
		FaultVouchesForOld:    {Bounds: stale, Depth: 4},
	}
	for fault, search := range searches {
		t.Run(string(fault), func(t *testing.T) {
			search.Members, search.States, search.Within, search.Fault = 3, enumeratedStates, enumeratedTime, fault
			found := Enumerate(search)
			if found.Violation == "" {
				t.Fatal("not found:", found)
			}
			t.Log(found)
			search.Fault = NoFault
			if sound := search.play(found.Trace); sound.violation != "" {
				t.Fatal("without the fault:", sound.violation)
			}
		})
	}
}
