package rig

import "sync"

// alternation chooses between two builds for the programs of one machine, so that a fleet runs mixed versions.
type alternation struct {
	folders [2]string
	lock    sync.Mutex
	machine int
	starts  map[string]int
}

// dataPlane is the program whose build differs from that of the control plane on every other pair of machines.
const dataPlane = "cedardp"

// mixBuilds makes the machines of the fleet, and those that join later, alternate between the rig's build and another one. An empty folder changes nothing.
func (rig *Rig) mixBuilds(otherBin string) {
	rig.otherBin = otherBin
	for place, node := range rig.Nodes {
		node.builds = rig.alternation(place)
	}
}

// alternation gives the choice of builds for the machine at a place of the fleet, nil where there is one build.
func (rig *Rig) alternation(machine int) *alternation {
	if rig.otherBin == "" {
		return nil
	}
	return &alternation{folders: [2]string{rig.bin, rig.otherBin}, machine: machine, starts: map[string]int{}}
}

// next gives the folder for the next start of a program. Neighbouring machines begin with different builds, each restart changes the build, and of
// four machines one has each combination of builds of the two programs.
func (alternation *alternation) next(program string) string {
	alternation.lock.Lock()
	defer alternation.lock.Unlock()
	choice := alternation.machine + alternation.starts[program]
	if program == dataPlane {
		choice += alternation.machine / len(alternation.folders)
	}
	alternation.starts[program]++
	return alternation.folders[choice%len(alternation.folders)]
}

// folderOfBuild gives the folder that the next start of a program takes its binary from.
func (node *Node) folderOfBuild(program string) string {
	if node.builds == nil {
		return node.bin
	}
	return node.builds.next(program)
}
