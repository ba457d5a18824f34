package rig

import "sync"

// buildRotation alternates between two builds for the programs of one machine, so that a fleet runs mixed versions.
type buildRotation struct {
	// folders holds the rig's own build and the other one.
	folders [2]string
	lock    sync.Mutex
	// machineIndex is the machine's position in the fleet.
	machineIndex int
	// starts counts the starts of each program so far.
	starts map[string]int
}

// dataPlane is the program whose build differs from that of the control plane on every other pair of machines.
const dataPlane = "cedardp"

// mixBuilds makes all machines, including those that join later, alternate between the rig's build and another one. An empty folder changes
// nothing.
func (rig *Rig) mixBuilds(otherBin string) {
	rig.otherBin = otherBin
	for index, node := range rig.Nodes {
		node.builds = rig.newBuildRotation(index)
	}
}

// newBuildRotation returns the rotation for the machine at an index of the fleet, or nil if there is only one build.
func (rig *Rig) newBuildRotation(machine int) *buildRotation {
	if rig.otherBin == "" {
		return nil
	}
	return &buildRotation{folders: [2]string{rig.bin, rig.otherBin}, machineIndex: machine, starts: map[string]int{}}
}

// nextFolder returns the folder of the build for the next start of a program. Neighbouring machines begin with different builds, each restart
// switches builds, and four consecutive machines cover each combination of builds of the two programs.
func (rotation *buildRotation) nextFolder(program string) string {
	rotation.lock.Lock()
	defer rotation.lock.Unlock()
	choice := rotation.machineIndex + rotation.starts[program]
	if program == dataPlane {
		choice += rotation.machineIndex / len(rotation.folders)
	}
	rotation.starts[program]++
	return rotation.folders[choice%len(rotation.folders)]
}

// nextBuildFolder returns the folder that holds the binary for the next start of a program.
func (node *Node) nextBuildFolder(program string) string {
	if node.builds == nil {
		return node.bin
	}
	return node.builds.nextFolder(program)
}
