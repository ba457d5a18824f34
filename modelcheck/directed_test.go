package modelcheck

import "testing"

// exchangeRepeatedly completes disk writes and delivers messages count times, while no clock advances.
func (cluster *Cluster) exchangeRepeatedly(count int) {
	for range count {
		for _, member := range cluster.members {
			for member.pendingWrite != nil {
				cluster.finishWrite(member)
			}
		}
		cluster.deliverAll()
	}
}

// playStaleTailRead plays a case that random walks rarely reach: a tail is isolated while the others change the view and accept a write,
// and is then asked for a read before it learns of the new view.
func playStaleTailRead(fault Fault) *Cluster {
	cluster := New(1, 3, fault)
	cluster.bringUp()
	for round := range 10 {
		cluster.faultFreeRound(round)
	}
	tail := cluster.firstMember(0, believesTail)
	cluster.isolate(tail)
	for round := range 40 {
		for _, member := range cluster.members {
			if member != tail {
				cluster.stepMember(member)
			}
		}
		cluster.deliverAll()
		if head := cluster.firstMember(0, acceptsWrites); head != nil && head.replica.View().Number > 1 && round > 30 {
			cluster.submit(head)
		}
	}
	cluster.heal()
	cluster.read(tail)
	cluster.exchangeRepeatedly(4)
	return cluster
}

func TestStaleTailRead(t *testing.T) {
	if cluster := playStaleTailRead(NoFault); cluster.checker.violation != "" || len(cluster.checker.acked) == 0 {
		t.Fatal("without a fault:", cluster.checker.violation, len(cluster.checker.acked), "acknowledged")
	}
	if playStaleTailRead(FaultStaleViewConfirmed).checker.violation == "" {
		t.Fatal("a member that confirms a view which it has left was not found")
	}
}

// runRounds runs fault-free rounds for all running members but one.
func (cluster *Cluster) runRounds(count int, without *member) {
	for range count {
		for _, member := range cluster.members {
			if member.isUp() && member != without {
				cluster.stepMember(member)
			}
		}
		cluster.deliverAll()
	}
}

// playAbandonedVersions lets a head assign two versions that no other member receives, rejoin a chain that has moved on without them,
// restart, and become head again. Its disk must no longer hold the abandoned versions.
func playAbandonedVersions(fault Fault) *Cluster {
	const phase = 60
	cluster := New(1, 3, fault)
	cluster.bringUp()
	cluster.runRounds(phase, nil)
	head := cluster.firstMember(0, acceptsWrites)
	cluster.isolate(head)
	cluster.submit(head)
	cluster.submit(head)
	cluster.stepMember(head)
	cluster.stepMember(head)
	cluster.runRounds(phase, head)
	cluster.heal()
	cluster.runRounds(2*phase, nil)
	cluster.submit(cluster.firstMember(0, acceptsWrites))
	cluster.runRounds(phase, nil)
	cluster.Apply(Action{Kind: Kill, First: cluster.indexOf(head)})
	cluster.start(head, false)
	for _, other := range cluster.members {
		if other == head {
			continue
		}
		cluster.runRounds(phase, nil)
		cluster.isolate(other)
		cluster.runRounds(2*phase, nil)
		cluster.heal()
	}
	cluster.awaitRecovery()
	return cluster
}

func (cluster *Cluster) indexOf(wanted *member) int {
	for index, member := range cluster.members {
		if member == wanted {
			return index
		}
	}
	return -1
}

func TestAbandonedVersions(t *testing.T) {
	if cluster := playAbandonedVersions(NoFault); cluster.checker.violation != "" || len(cluster.checker.acked) < 2 {
		t.Fatal("without a fault:", cluster.checker.violation, len(cluster.checker.acked), "acknowledged")
	}
	if playAbandonedVersions(FaultStaleVersionKept).checker.violation == "" {
		t.Fatal("an abandoned version that stayed in the folder was not found")
	}
}

// playLostReplicate loses the replication message of a first version and delivers that of a second one, before any retransmission.
func playLostReplicate(fault Fault) *Cluster {
	cluster := New(1, 3, fault)
	cluster.bringUp()
	cluster.runRounds(60, nil)
	head := cluster.firstMember(0, acceptsWrites)
	cluster.submit(head)
	cluster.finishWrite(head)
	cluster.messages = nil
	cluster.submit(head)
	cluster.finishWrite(head)
	cluster.exchangeRepeatedly(6)
	return cluster
}

// lacksAcknowledged reports whether a member of the newest view's chain lacks an acknowledged write.
func (cluster *Cluster) lacksAcknowledged() bool {
	for _, node := range cluster.newestView.Core {
		member := cluster.member(node.Name)
		if !member.isUp() || cluster.newestView.ChainIndex(member.replica.Self().Identity()) < 0 {
			continue
		}
		for operation := range cluster.checker.acked {
			if _, found := member.replica.Operation(operation); !found {
				return true
			}
		}
	}
	return false
}

func TestLostReplicate(t *testing.T) {
	if playLostReplicate(NoFault).lacksAcknowledged() {
		t.Fatal("without a fault, a member of the chain lacks what was acknowledged")
	}
	if !playLostReplicate(FaultNoLogMatching).lacksAcknowledged() {
		t.Fatal("a version that was accepted without its predecessor was not found")
	}
}

// playRejoinAfterWipe wipes a member's disk after many writes, and stops as soon as the chain has three members again.
func playRejoinAfterWipe(fault Fault) *Cluster {
	const writes = 40
	cluster := New(1, 3, fault)
	cluster.bringUp()
	cluster.runRounds(60, nil)
	for range writes {
		cluster.submit(cluster.firstMember(0, acceptsWrites))
		cluster.runRounds(2, nil)
	}
	tail := cluster.firstMember(0, believesTail)
	cluster.Apply(Action{Kind: Wipe, First: cluster.indexOf(tail)})
	cluster.start(tail, false)
	previous := cluster.newestView.Number
	for range 400 {
		cluster.runRounds(1, nil)
		if cluster.newestView.Number > previous && len(cluster.newestView.Chain) == 3 {
			break
		}
	}
	return cluster
}

func TestRejoinAfterWipe(t *testing.T) {
	if cluster := playRejoinAfterWipe(NoFault); len(cluster.newestView.Chain) < 3 || len(cluster.checker.acked) < 30 || cluster.lacksAcknowledged() {
		t.Fatal("without a fault:", cluster.newestView, len(cluster.checker.acked), cluster.lacksAcknowledged())
	}
	if !playRejoinAfterWipe(FaultJoinedBeforeCaughtUp).lacksAcknowledged() {
		t.Fatal("a member that joined the chain before it caught up was not found")
	}
}
