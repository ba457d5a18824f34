package nodecheck

import (
	"testing"
	"time"
)

const (
	walkCount     = 24
	walkSpan      = 30 * time.Second
	walkTimeLimit = 90 * time.Second
	// maxFaultWalks is the number of walks within which a planted fault must be detected.
	maxFaultWalks = 200
)

func TestNothingBreaks(t *testing.T) {
	summary := Explore(Options{Seed: 1, Span: walkSpan}, walkCount, walkTimeLimit)
	t.Log(summary)
	if summary.Broken != nil {
		t.Fatal(summary.Broken)
	}
}

// TestPlantedFaultsAreFound checks that each planted fault is detected within maxFaultWalks walks, and that a replay of the failing walk
// shows the same violation.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, fault := range Faults() {
		t.Run(string(fault), func(t *testing.T) {
			summary := Explore(Options{Seed: 1, Span: walkSpan, Fault: fault}, maxFaultWalks, walkTimeLimit)
			if summary.Broken == nil {
				t.Fatal("not found:", summary)
			}
			t.Log(summary.Walks, "walks:", summary.Broken.Violation)
			if replayed := Walk(summary.Broken.Options); replayed.Violation != summary.Broken.Violation {
				t.Fatal("the replay shows something else:", replayed.Violation)
			}
		})
	}
}
