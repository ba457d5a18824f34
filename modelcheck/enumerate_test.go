package modelcheck

import (
	"testing"
	"time"
)

const (
	enumerationDepth     = 3
	enumerationMaxStates = 100_000
	enumerationTimeLimit = 90 * time.Second
)

func TestEnumeration(t *testing.T) {
	found := Enumerate(Search{Members: 3, Bounds: DefaultBounds(), MaxDepth: enumerationDepth, MaxStates: enumerationMaxStates, TimeLimit: enumerationTimeLimit})
	t.Log(found)
	if found.Violation != "" {
		t.Fatal(found)
	}
	if found.Depth < enumerationDepth-1 {
		t.Fatal("too little was searched:", found)
	}
}

// TestPlantedFaultsAreEnumerated checks that the systematic search detects faults: within the default bounds at a depth of two, or with
// narrower bounds at a larger depth. The failing trace must pass without the fault.
func TestPlantedFaultsAreEnumerated(t *testing.T) {
	stale := Bounds{categoryWrites: 1, categoryReads: 1, categoryPartitions: 1, categoryHeals: 1}
	searches := map[Fault]Search{
		FaultVersionNotSynced:      {Bounds: DefaultBounds(), MaxDepth: 2},
		FaultAcknowledgedByHead:    {Bounds: DefaultBounds(), MaxDepth: 2},
		FaultJoinedBeforeCaughtUp:  {Bounds: DefaultBounds(), MaxDepth: 2},
		FaultIdentityKeptAfterWipe: {Bounds: DefaultBounds(), MaxDepth: 2},
		FaultNoLogMatching:         {Bounds: DefaultBounds(), MaxDepth: 2},
		FaultReadWithoutQuorum:     {Bounds: stale, MaxDepth: 3},
		FaultStaleViewConfirmed:    {Bounds: stale, MaxDepth: 4},
	}
	for fault, search := range searches {
		t.Run(string(fault), func(t *testing.T) {
			search.Members, search.MaxStates, search.TimeLimit, search.Fault = 3, enumerationMaxStates, enumerationTimeLimit, fault
			found := Enumerate(search)
			if found.Violation == "" {
				t.Fatal("not found:", found)
			}
			t.Log(found)
			search.Fault = NoFault
			if correct := search.playTrace(found.Trace); correct.violation != "" {
				t.Fatal("without the fault:", correct.violation)
			}
		})
	}
}
