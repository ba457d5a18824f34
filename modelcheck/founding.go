package modelcheck

import (
	"fmt"
	"math/rand/v2"

	"github.com/cedarreel/cedarreel/image"
)

// founderCount is the number of founders of a walk of the founding; further members join.
const founderCount = 3

// WalkFounding starts a core on empty disks and applies random actions from the first moment on, then ends all faults and checks that the core
// serves. Until a write is acknowledged, one founder may lose its disk, or end before it has written to it. Each later start of a process is told
// that it is not the first of the fleet.
func WalkFounding(options Options) Result {
	founders := []string{}
	for number := range min(founderCount, options.Members) {
		founders = append(founders, fmt.Sprintf("m%d", number))
	}
	random, cluster := rand.New(rand.NewPCG(options.Seed, 13)), newCluster(options.Seed, options.Members, options.Fault, founders)
	weights, actions := swarmWeights(random), []Action{}
	for len(actions) < options.Steps && cluster.checker.violation == "" {
		action := drawAction(random, weights)
		actions = append(actions, action)
		cluster.applyFounding(action)
	}
	cluster.awaitRecovery()
	return cluster.result(options, actions, 0)
}

// applyFounding applies an action unless it would take a second founder out of its first life.
func (cluster *Cluster) applyFounding(action Action) {
	member := cluster.members[action.First%len(cluster.members)]
	switch action.Kind {
	case Kill, TearWrite, PowerOff:
		if !member.isUp() || cluster.hasRecord(member) {
			break
		}
		if !cluster.mayLose(member) {
			return
		}
		cluster.lost[member.name] = true
	case Replace:
		if cluster.fullyReplicated() {
			cluster.lost[member.name] = true
		}
	case Wipe:
		if member.removed {
			return
		}
		if cluster.fullyReplicated() {
			cluster.lost[member.name] = true
			break
		}
		if cluster.mayLose(member) {
			cluster.lost[member.name] = true
			member.replica, member.pendingWrite = nil, nil
			member.disk.Wipe()
		}
		return
	}
	cluster.Apply(action)
}

// mayLose reports whether a member may leave its first life though the core does not hold everything twice: nothing is acknowledged yet, and no
// other one has.
func (cluster *Cluster) mayLose(member *member) bool {
	others := len(cluster.lost)
	if cluster.lost[member.name] {
		others--
	}
	return others == 0 && len(cluster.checker.acked) == 0
}

// hasRecord reports whether a member's disk has its record.
func (cluster *Cluster) hasRecord(member *member) bool {
	recovered, err := image.Load(member.disk)
	return err == nil && recovered.Member.ID != ""
}
