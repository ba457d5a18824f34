package rig

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// allStories returns all stories by the names that the command line takes.
func allStories() map[string]story {
	return map[string]story{
		"calm":            func(*Rig, Plan) error { return nil },
		"kill":            withNodes(1, (*Rig).killNodes),
		"kill many":       withNodes(4, (*Rig).killNodes),
		"kill zone":       killZone,
		"kill cores":      killCores,
		"kill region":     killRegion,
		"freeze":          withNodes(3, (*Rig).freezeNodes),
		"cut":             withNodes(1, (*Rig).cutNodes),
		"cut region":      cutRegion,
		"disk full":       withDiskFault("full"),
		"disk stalled":    withDiskFault("stalled"),
		"disk slow":       withDiskFault("slow"),
		"wipe core":       wipeCore,
		"swap core":       swapCore,
		"server crash":    serverCrash,
		"bad replies":     badReplies,
		"reclaim":         reclaimServer,
		"drain":           drainZone,
		"scale":           scalePool,
		"storm":           writeBurst,
		"graceful stop":   gracefulStop,
		"platform broken": platformBroken,
		"cut one way":     cutOneWay,
		"lossy":           lossyLinks,
		"disk lies":       lostDiskWrites,
		"disk torn":       tornDisk,
		"late reports":    lateReports,
		"rolling":         rollingReplacement,
		"crowd":           extraTraffic,
		"races":           concurrentOperators,
		"slow readers":    slowReaders,
		"zones apart":     zonesApart,
		"mixed":           mixedStories,
		"soak":            soak,
		"all":             mainStoriesInTurn,
	}
}

// fraction returns a share of the plan's span.
func (plan Plan) fraction(share float64) time.Duration {
	return time.Duration(float64(plan.Span) * share)
}

// randomNodes returns so many different nodes.
func (rig *Rig) randomNodes(count int) []*Node {
	chosen := []*Node{}
	for len(chosen) < count {
		if node := rig.Nodes[rig.randomBelow(len(rig.Nodes))]; !slices.Contains(chosen, node) {
			chosen = append(chosen, node)
		}
	}
	return chosen
}

// nodesWhere returns the nodes that match.
func (rig *Rig) nodesWhere(matches func(*Node) bool) []*Node {
	chosen := []*Node{}
	for _, node := range rig.Nodes {
		if matches(node) {
			chosen = append(chosen, node)
		}
	}
	return chosen
}

// withNodes makes a story that applies a fault to so many random nodes.
func withNodes(count int, act func(*Rig, []*Node, time.Duration) error) story {
	return func(rig *Rig, plan Plan) error {
		time.Sleep(plan.fraction(0.2))
		return act(rig, rig.randomNodes(count), plan.fraction(0.3))
	}
}

// killNodes kills nodes and starts them again after a while.
func (rig *Rig) killNodes(nodes []*Node, span time.Duration) error {
	for _, node := range nodes {
		node.Kill()
		rig.Ledger.NodeRestarted(node.Machine.Name + "-data")
	}
	time.Sleep(span)
	var errs []error
	for _, node := range nodes {
		errs = append(errs, node.Start())
	}
	return errors.Join(errs...)
}

// freezeNodes suspends nodes for a while.
func (rig *Rig) freezeNodes(nodes []*Node, span time.Duration) error {
	for _, node := range nodes {
		node.Freeze()
	}
	time.Sleep(span)
	for _, node := range nodes {
		node.Resume()
	}
	return nil
}

// cutNodes cuts nodes off from all others for a while.
func (rig *Rig) cutNodes(nodes []*Node, span time.Duration) error {
	rig.Cut(nodes, rig.Nodes)
	time.Sleep(span)
	rig.Heal()
	return nil
}

// killZone kills all machines of a random zone.
func killZone(rig *Rig, plan Plan) error {
	zone := rig.Nodes[rig.randomBelow(len(rig.Nodes))].Machine.Zone
	time.Sleep(plan.fraction(0.2))
	return rig.killNodes(rig.nodesWhere(func(node *Node) bool { return node.Machine.Zone == zone }), plan.fraction(0.3))
}

// killCores kills all core machines at once; the core must accept writes after their restart.
func killCores(rig *Rig, plan Plan) error {
	time.Sleep(plan.fraction(0.2))
	cores := rig.nodesWhere(func(node *Node) bool { return node.Machine.Core })
	if err := rig.killNodes(cores, plan.fraction(0.1)); err != nil {
		return err
	}
	return rig.awaitWrite("after the cores returned")
}

// awaitWrite waits until the core accepts a write, within the bound for a return to service. The first five characters of occasion begin the
// operation keys.
func (rig *Rig) awaitWrite(occasion string) error {
	attempts := 0
	return rig.Await("a write "+occasion, rig.bounds.Return(), func() bool {
		attempts++
		body := fmt.Appendf(nil, `{"homes":{"guest":%q}}`, rig.Site.Regions()[0])
		status, _, _ := rig.Write(rig.Nodes[1], http.MethodPatch, "/v1/manifest", fmt.Sprintf("%s-%d-%d", occasion[:5], attempts, rig.now()), body)
		return status == 200 || status == 202
	})
}

// killRegion kills all machines of the second region and records how long it took to serve again.
func killRegion(rig *Rig, plan Plan) error {
	region := rig.Site.Regions()[1]
	time.Sleep(plan.fraction(0.2))
	nodes := rig.nodesWhere(func(node *Node) bool { return node.Machine.Region == region })
	if err := rig.killNodes(nodes, plan.fraction(0.2)); err != nil {
		return err
	}
	restartedAt := rig.now()
	err := rig.Await("serving again", 2*rig.bounds.Return(), rig.isServing)
	rig.Ledger.RegionRecovered(region, restartedAt, rig.now())
	return err
}

// cutRegion cuts the second region off from all others.
func cutRegion(rig *Rig, plan Plan) error {
	region := rig.Site.Regions()[1]
	time.Sleep(plan.fraction(0.2))
	rig.Cut(rig.nodesWhere(func(node *Node) bool { return node.Machine.Region == region }), rig.nodesWhere(func(node *Node) bool { return node.Machine.Region != region }))
	time.Sleep(plan.fraction(0.4))
	rig.Heal()
	time.Sleep(rig.bounds.Deliver())
	return rig.awaitWrite("after the cut")
}

// withDiskFault makes a story in which the disk of one core machine is full, stalled or slow; writes must be accepted during the fault and
// after it.
func withDiskFault(state string) story {
	return func(rig *Rig, plan Plan) error {
		time.Sleep(plan.fraction(0.1))
		node := rig.nodesWhere(func(node *Node) bool { return node.Machine.Core })[rig.randomBelow(3)]
		node.SetDiskFault(state)
		time.Sleep(plan.fraction(0.2))
		err := rig.awaitWrite("while a disk is " + state)
		node.SetDiskFault("")
		time.Sleep(plan.fraction(0.2))
		return errors.Join(err, rig.awaitWrite("later"))
	}
}

// serverCrash crashes a server and starts it again.
func serverCrash(rig *Rig, plan Plan) error {
	time.Sleep(plan.fraction(0.2))
	server := rig.servers[rig.randomBelow(len(rig.servers))]
	server.Crash()
	time.Sleep(plan.fraction(0.2))
	return server.start()
}

// badReplies gives several servers a different fault each.
func badReplies(rig *Rig, plan Plan) error {
	modes := []string{"cut", "wrong", "refuse", "dark", "partial", "garbled"}
	for index, mode := range modes {
		rig.servers[index].SetMode(mode)
	}
	time.Sleep(plan.fraction(0.8))
	for index := range modes {
		rig.servers[index].SetMode("")
	}
	return nil
}

// reclaimServer marks a server as leaving and replaces it after its time is over.
func reclaimServer(rig *Rig, plan Plan) error {
	time.Sleep(plan.fraction(0.2))
	server := rig.servers[rig.randomBelow(len(rig.servers))]
	rig.Platform.MarkLeaving(server, plan.fraction(0.3))
	time.Sleep(plan.fraction(0.5))
	return rig.Platform.Replace(server)
}

// drainZone drains the zone of the first machine for half of the run.
func drainZone(rig *Rig, plan Plan) error {
	zone := rig.Nodes[0].Machine.Zone
	time.Sleep(plan.fraction(0.2))
	if err := rig.writeUntilAccepted("/v1/zones/" + zone + "/drain"); err != nil {
		return err
	}
	rig.Ledger.ZoneDrained(zone, rig.now())
	time.Sleep(plan.fraction(0.5))
	rig.Ledger.ZoneUndrained(zone, rig.now())
	return rig.writeUntilAccepted("/v1/zones/" + zone + "/undrain")
}

// writeUntilAccepted repeats a write under one operation key at one node after another until it is accepted.
func (rig *Rig) writeUntilAccepted(path string) error {
	key, next := fmt.Sprintf("insist-%d", rig.now()), rig.randomBelow(len(rig.Nodes))
	return rig.Await(path, 2*rig.bounds.Return(), func() bool {
		next++
		status, _, _ := rig.Write(rig.Nodes[next%len(rig.Nodes)], http.MethodPost, path, key, nil)
		return status == 200 || status == 202
	})
}

// scalePool scales a pool down, which must unload a server, and up again.
func scalePool(rig *Rig, plan Plan) error {
	pool := rig.servers[0].Spec.Pool
	if _, _, err := rig.Write(rig.Nodes[7], http.MethodPost, "/v1/pools/"+pool+"/scale", "down", []byte("3")); err != nil {
		return err
	}
	time.Sleep(plan.fraction(0.7))
	rig.Platform.lock.Lock()
	orders := len(rig.Platform.Orders)
	rig.Platform.lock.Unlock()
	if orders == 0 {
		return errors.New("no server was unloaded")
	}
	_, _, err := rig.Write(rig.Nodes[2], http.MethodPost, "/v1/pools/"+pool+"/scale", "up", []byte("8"))
	return err
}

// writeBurst sends 50 manifest writes through all nodes in turn; each must be accepted.
func writeBurst(rig *Rig, plan Plan) error {
	for index := range 50 {
		key := fmt.Sprintf("storm-%d-%d", index, rig.now())
		body := fmt.Appendf(nil, `{"homes":{"guest-%d":%q}}`, index%10, rig.Site.Regions()[index%2])
		if _, _, err := rig.Write(rig.Nodes[index%len(rig.Nodes)], http.MethodPatch, "/v1/manifest", key, body); err != nil {
			return err
		}
	}
	return nil
}

// platformBroken makes the platform's listings incomplete for a while.
func platformBroken(rig *Rig, plan Plan) error {
	time.Sleep(plan.fraction(0.2))
	rig.Platform.SetBroken(true)
	time.Sleep(plan.fraction(0.3))
	rig.Platform.SetBroken(false)
	return rig.Await("serving again", rig.bounds.Return(), rig.isServing)
}

// gracefulStop stops a machine with SIGTERM; both processes must exit with code 0.
func gracefulStop(rig *Rig, plan Plan) error {
	time.Sleep(plan.fraction(0.3))
	node := rig.Nodes[1]
	if !node.Stop() {
		return errors.New("a stop on SIGTERM did not end with exit code 0")
	}
	rig.Ledger.NodeRestarted(node.Machine.Name + "-data")
	time.Sleep(plan.fraction(0.2))
	return node.Start()
}

// swapCore replaces a core machine permanently by an empty one at a new address, which must join the chain.
func swapCore(rig *Rig, plan Plan) error {
	time.Sleep(plan.fraction(0.2))
	old := rig.nodesWhere(func(node *Node) bool { return node.Machine.Core })[rig.randomBelow(3)]
	old.Kill()
	machine := old.Machine
	machine.Name = "m13"
	fresh, err := rig.newNode(machine)
	if err != nil {
		return err
	}
	seeds := []string{}
	for index, node := range rig.Nodes {
		if node == old {
			rig.Nodes[index] = fresh
		} else if len(seeds) < 3 {
			seeds = append(seeds, node.Settings.Control)
		}
	}
	fresh.Settings.Seeds = seeds
	if err = fresh.Start(); err != nil {
		return err
	}
	return errors.Join(rig.awaitWrite("after the swap"), rig.Await("the empty machine in the chain", 2*rig.bounds.Return(), func() bool {
		_, answer, err := rig.Operate(fresh.Settings.Control, http.MethodGet, "/v1/chain", "", nil)
		_, chain, found := strings.Cut(string(answer), `"chain":`)
		return err == nil && found && strings.Contains(chain, "m13-control")
	}))
}

// wipeCore deletes the data of a core machine while it is down.
func wipeCore(rig *Rig, plan Plan) error {
	time.Sleep(plan.fraction(0.2))
	node := rig.nodesWhere(func(node *Node) bool { return node.Machine.Core })[rig.randomBelow(3)]
	node.Kill()
	rig.Ledger.NodeRestarted(node.Machine.Name + "-data")
	if err := node.wipeData(); err != nil {
		return err
	}
	time.Sleep(plan.fraction(0.1))
	if err := node.Start(); err != nil {
		return err
	}
	return rig.awaitWrite("after the wipe")
}

// mainStoriesInTurn plays the main failures one after another.
func mainStoriesInTurn(rig *Rig, plan Plan) error {
	storyPlan := plan
	storyPlan.Span = plan.Span / 8
	for _, name := range []string{"kill", "freeze", "cut", "wipe core", "kill cores", "drain", "kill region", "server crash"} {
		plan.Log("playing " + name)
		if err := stories[name](rig, storyPlan); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}
