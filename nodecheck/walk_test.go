package nodecheck

import (
	"testing"
	"time"
)

const (
	walksPlayed = 24
	walkSpan    = 30 * time.Second
	walkTime    = 90 * time.Second
	// faultWalks is in how many walks a planted fault has to be found.
	faultWalks = 200
)

func TestNothingBreaks(t *testing.T) {
	summary := Explore(Options{Seed: 1, Span: walkSpan}, walksPlayed, walkTime)
	t.Log(summary)
	if summary.Broken != nil {
		t.Fatal(summary.Broken)
	}
}

// TestPlantedFaultsAreFound wants each fault to be found within some walks, by what its operators and nodes saw.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, fault := range Faults() {
		t.Run(string(fault), func(t *testing.T) {
			summary := Explore(Options{Seed: 1, Span: walkSpan, Fault: fault}, faultWalks, walkTime)
			if summary.Broken == nil {
				t.Fatal("not found:", summary)
			}
			t.Log(summary.Walks, "walks:", summary.Broken.Violation)
			if again := Walk(summary.Broken.Options); again.Violation != summary.Broken.Violation {
				t.Fatal("the replay shows something else:", again.Violation)
			}
		})
	}
}
