package modelcheck

import "testing"

// exchange lets disks write and messages arrive so many times, while no clock moves.
func (cluster *Cluster) exchange(count int) {
	for range count {
		for _, member := range cluster.members {
			for member.pending != nil {
				cluster.finishWrite(member)
			}
		}
		cluster.deliverAll()
	}
}

// directed plays the situation that random walks seldom meet: a tail that was cut off while the others changed the view and accepted a
// write, and that is asked for a read before it has heard of any of that.
func directed(fault Fault) *Cluster {
	cluster := New(1, 3, fault)
	cluster.settle()
	for round := range 10 {
		cluster.calm(round)
	}
	tail := cluster.first(0, tailOf)
	cluster.isolate(tail)
	for round := range 40 {
		for _, member := range cluster.members {
			if member != tail {
				cluster.round(member)
			}
		}
		cluster.deliverAll()
		if head := cluster.first(0, headOf); head != nil && head.owner.View().Number > 1 && round > 30 {
			cluster.submit(head)
		}
	}
	cluster.heal()
	cluster.read(tail)
	cluster.exchange(4)
	return cluster
}

func TestDirected(t *testing.T) {
	if cluster := directed(NoFault); cluster.checker.violation != "" || len(cluster.checker.acked) == 0 {
		t.Fatal("without a fault:", cluster.checker.violation, len(cluster.checker.acked), "acknowledged")
	}
	if directed(FaultVouchesForOld).checker.violation == "" {
		t.Fatal("a member that vouches for a view which it has left was not found")
	}
}

// rounds lets time pass in peace for all members that run, but for one.
func (cluster *Cluster) rounds(count int, without *member) {
	for range count {
		for _, member := range cluster.members {
			if member.up() && member != without {
				cluster.round(member)
			}
		}
		cluster.deliverAll()
	}
}

// leftBehind lets a head number two versions that nobody else gets, come back to a chain that has gone on without them, restart, and
// lead again.
func leftBehind(fault Fault) *Cluster {
	const phase = 60
	cluster := New(1, 3, fault)
	cluster.settle()
	cluster.rounds(phase, nil)
	head := cluster.first(0, headOf)
	cluster.isolate(head)
	cluster.submit(head)
	cluster.submit(head)
	cluster.round(head)
	cluster.round(head)
	cluster.rounds(phase, head)
	cluster.heal()
	cluster.rounds(2*phase, nil)
	cluster.submit(cluster.first(0, headOf))
	cluster.rounds(phase, nil)
	cluster.Apply(Action{Kind: Kill, First: cluster.place(head)})
	cluster.start(head, false)
	for _, other := range cluster.members {
		if other == head {
			continue
		}
		cluster.rounds(phase, nil)
		cluster.isolate(other)
		cluster.rounds(2*phase, nil)
		cluster.heal()
	}
	cluster.recover()
	return cluster
}

func (cluster *Cluster) place(wanted *member) int {
	for place, member := range cluster.members {
		if member == wanted {
			return place
		}
	}
	return -1
}

func TestLeftBehind(t *testing.T) {
	if cluster := leftBehind(NoFault); cluster.checker.violation != "" || len(cluster.checker.acked) < 2 {
		t.Fatal("without a fault:", cluster.checker.violation, len(cluster.checker.acked), "acknowledged")
	}
	if leftBehind(FaultRemovalLost).checker.violation == "" {
		t.Fatal("a version that stayed in the folder though it was left behind was not found")
	}
}

// gap lets the pass of a first version be lost, and the pass of a second one arrive, before anything is sent again.
func gap(fault Fault) *Cluster {
	cluster := New(1, 3, fault)
	cluster.settle()
	cluster.rounds(60, nil)
	head := cluster.first(0, headOf)
	cluster.submit(head)
	cluster.finishWrite(head)
	cluster.messages = nil
	cluster.submit(head)
	cluster.finishWrite(head)
	cluster.exchange(6)
	return cluster
}

// lacking tells whether a member of the newest chain lacks a version that was acknowledged.
func (cluster *Cluster) lacking() bool {
	for _, node := range cluster.view.Core {
		member := cluster.member(node.Name)
		if !member.up() || cluster.view.ChainIndex(member.owner.Self().Identity()) < 0 {
			continue
		}
		for operation := range cluster.checker.acked {
			if _, there := member.owner.Operation(operation); !there {
				return true
			}
		}
	}
	return false
}

func TestGap(t *testing.T) {
	if gap(NoFault).lacking() {
		t.Fatal("without a fault, a member of the chain lacks what was acknowledged")
	}
	if !gap(FaultNoLogMatching).lacking() {
		t.Fatal("a version that was taken without the one before it was not found")
	}
}

// joining lets a member lose its disk after many writes, and stops as soon as the chain has three members again.
func joining(fault Fault) *Cluster {
	const writes = 40
	cluster := New(1, 3, fault)
	cluster.settle()
	cluster.rounds(60, nil)
	for range writes {
		cluster.submit(cluster.first(0, headOf))
		cluster.rounds(2, nil)
	}
	tail := cluster.first(0, tailOf)
	cluster.Apply(Action{Kind: Wipe, First: cluster.place(tail)})
	cluster.start(tail, false)
	former := cluster.view.Number
	for range 400 {
		cluster.rounds(1, nil)
		if cluster.view.Number > former && len(cluster.view.Chain) == 3 {
			break
		}
	}
	return cluster
}

func TestJoining(t *testing.T) {
	if cluster := joining(NoFault); len(cluster.view.Chain) < 3 || len(cluster.checker.acked) < 30 || cluster.lacking() {
		t.Fatal("without a fault:", cluster.view, len(cluster.checker.acked), cluster.lacking())
	}
	if !joining(FaultCountedEarly).lacking() {
		t.Fatal("a member that joined the chain before it caught up was not found")
	}
}
