package modelcheck

import (
	"fmt"
	"testing"
)

const (
	foundingWalks = 200
	foundingSteps = 600
)

func TestAFoundingSurvivesKillsAndALostDisk(t *testing.T) {
	views := 0
	for seed := range uint64(foundingWalks) {
		result := WalkFounding(Options{Seed: seed, Members: []int{3, 3, 5}[seed%3], Steps: foundingSteps})
		if result.Violation != "" {
			t.Fatal(result)
		}
		views += result.Views
	}
	if views < foundingWalks {
		t.Fatal("too few views: ", views)
	}
}

func TestPlantedFaultsOfAFoundingAreFound(t *testing.T) {
	for fault, seed := range map[Fault]uint64{FaultFounderForgets: 486, FaultAmnesiacFounds: 568} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			walkPlanted(t, Options{Seed: seed, Members: 3, Steps: foundingSteps, Fault: fault}, WalkFounding)
		})
	}
}
