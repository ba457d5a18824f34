package rig

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

func allStories() map[string]story {
	return map[string]story{
		"calm":            func(*Rig, Plan) error { return nil },
		"kill":            withNodes(1, (*Rig).killSome),
		"kill many":       withNodes(4, (*Rig).killSome),
		"kill zone":       killZone,
		"kill cores":      killCores,
		"kill region":     killRegion,
		"freeze":          withNodes(3, (*Rig).freezeSome),
		"cut":             withNodes(1, (*Rig).cutSome),
		"cut region":      cutRegion,
		"disk full":       onDisk("full"),
		"disk stalled":    onDisk("stalled"),
		"disk slow":       onDisk("slow"),
		"wipe core":       wipeCore,
		"swap core":       swapCore,
		"server crash":    serverCrash,
		"bad replies":     badReplies,
		"reclaim":         reclaim,
		"drain":           drain,
		"scale":           scale,
		"storm":           storm,
		"graceful stop":   gracefulStop,
		"platform broken": platformBroken,
		"cut one way":     cutOneWay,
		"lossy":           lossy,
		"disk lies":       lyingDisk,
		"disk torn":       tornDisk,
		"late reports":    lateReports,
		"rolling":         rolling,
		"crowd":           crowded,
		"races":           races,
		"slow readers":    slowReaders,
		"zones apart":     zonesApart,
		"mixed":           mixed,
		"soak":            soak,
		"all":             everything,
	}
}

func (plan Plan) part(share float64) time.Duration {
	return time.Duration(float64(plan.Span) * share)
}

func (rig *Rig) some(count int) []*Node {
	chosen := []*Node{}
	for len(chosen) < count {
		if node := rig.Nodes[rig.draw(len(rig.Nodes))]; !slices.Contains(chosen, node) {
			chosen = append(chosen, node)
		}
	}
	return chosen
}

func (rig *Rig) where(fits func(*Node) bool) []*Node {
	chosen := []*Node{}
	for _, node := range rig.Nodes {
		if fits(node) {
			chosen = append(chosen, node)
		}
	}
	return chosen
}

func withNodes(count int, play func(*Rig, []*Node, time.Duration) error) story {
	return func(rig *Rig, plan Plan) error {
		time.Sleep(plan.part(0.2))
		return play(rig, rig.some(count), plan.part(0.3))
	}
}

func (rig *Rig) killSome(nodes []*Node, span time.Duration) error {
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

func (rig *Rig) freezeSome(nodes []*Node, span time.Duration) error {
	for _, node := range nodes {
		node.Freeze()
	}
	time.Sleep(span)
	for _, node := range nodes {
		node.Wake()
	}
	return nil
}

func (rig *Rig) cutSome(nodes []*Node, span time.Duration) error {
	rig.Cut(nodes, rig.Nodes)
	time.Sleep(span)
	rig.Heal()
	return nil
}

func killZone(rig *Rig, plan Plan) error {
	zone := rig.Nodes[rig.draw(len(rig.Nodes))].Machine.Zone
	time.Sleep(plan.part(0.2))
	return rig.killSome(rig.where(func(node *Node) bool { return node.Machine.Zone == zone }), plan.part(0.3))
}

func killCores(rig *Rig, plan Plan) error {
	time.Sleep(plan.part(0.2))
	cores := rig.where(func(node *Node) bool { return node.Machine.Core })
	if err := rig.killSome(cores, plan.part(0.1)); err != nil {
		return err
	}
	return rig.writes("after the cores returned")
}

// writes wants that the core takes writes again within the bound of a return.
func (rig *Rig) writes(when string) error {
	number := 0
	return rig.Await("a write "+when, rig.bounds.Return(), func() bool {
		number++
		body := fmt.Appendf(nil, `{"homes":{"guest":%q}}`, rig.Site.Regions()[0])
		status, _, _ := rig.Write(rig.Nodes[1], http.MethodPatch, "/v1/manifest", fmt.Sprintf("%s-%d-%d", when[:5], number, rig.now()), body)
		return status == 200 || status == 202
	})
}

func killRegion(rig *Rig, plan Plan) error {
	region := rig.Site.Regions()[1]
	time.Sleep(plan.part(0.2))
	nodes := rig.where(func(node *Node) bool { return node.Machine.Region == region })
	if err := rig.killSome(nodes, plan.part(0.2)); err != nil {
		return err
	}
	back := rig.now()
	err := rig.Await("serving again", 2*rig.bounds.Return(), rig.serves)
	rig.Ledger.RegionRecovered(region, back, rig.now())
	return err
}

func cutRegion(rig *Rig, plan Plan) error {
	region := rig.Site.Regions()[1]
	time.Sleep(plan.part(0.2))
	rig.Cut(rig.where(func(node *Node) bool { return node.Machine.Region == region }), rig.where(func(node *Node) bool { return node.Machine.Region != region }))
	time.Sleep(plan.part(0.4))
	rig.Heal()
	time.Sleep(rig.bounds.Deliver())
	return rig.writes("after the cut")
}

func onDisk(state string) story {
	return func(rig *Rig, plan Plan) error {
		time.Sleep(plan.part(0.1))
		node := rig.where(func(node *Node) bool { return node.Machine.Core })[rig.draw(3)]
		node.Disk(state)
		time.Sleep(plan.part(0.2))
		err := rig.writes("while a disk is " + state)
		node.Disk("")
		time.Sleep(plan.part(0.2))
		return errors.Join(err, rig.writes("later"))
	}
}

func serverCrash(rig *Rig, plan Plan) error {
	time.Sleep(plan.part(0.2))
	server := rig.servers[rig.draw(len(rig.servers))]
	server.Crash()
	time.Sleep(plan.part(0.2))
	return server.start()
}

func badReplies(rig *Rig, plan Plan) error {
	modes := []string{"cut", "wrong", "refuse", "dark", "partial", "garbled"}
	for index, mode := range modes {
		rig.servers[index].Mode(mode)
	}
	time.Sleep(plan.part(0.8))
	for index := range modes {
		rig.servers[index].Mode("")
	}
	return nil
}

func reclaim(rig *Rig, plan Plan) error {
	time.Sleep(plan.part(0.2))
	server := rig.servers[rig.draw(len(rig.servers))]
	rig.Platform.Mark(server, plan.part(0.3))
	time.Sleep(plan.part(0.5))
	return rig.Platform.Replace(server)
}

func drain(rig *Rig, plan Plan) error {
	zone := rig.Nodes[0].Machine.Zone
	time.Sleep(plan.part(0.2))
	if err := rig.insist("/v1/zones/" + zone + "/drain"); err != nil {
		return err
	}
	rig.Ledger.ZoneDrained(zone, rig.now())
	time.Sleep(plan.part(0.5))
	rig.Ledger.ZoneUndrained(zone, rig.now())
	return rig.insist("/v1/zones/" + zone + "/undrain")
}

// insist is an operator who asks one node after another, with one key, until a write is accepted.
func (rig *Rig) insist(path string) error {
	key, number := fmt.Sprintf("insist-%d", rig.now()), rig.draw(len(rig.Nodes))
	return rig.Await(path, 2*rig.bounds.Return(), func() bool {
		number++
		status, _, _ := rig.Write(rig.Nodes[number%len(rig.Nodes)], http.MethodPost, path, key, nil)
		return status == 200 || status == 202
	})
}

func scale(rig *Rig, plan Plan) error {
	pool := rig.servers[0].Row.Pool
	if _, _, err := rig.Write(rig.Nodes[7], http.MethodPost, "/v1/pools/"+pool+"/scale", "down", []byte("3")); err != nil {
		return err
	}
	time.Sleep(plan.part(0.7))
	rig.Platform.lock.Lock()
	orders := len(rig.Platform.Orders)
	rig.Platform.lock.Unlock()
	if orders == 0 {
		return errors.New("no server was unloaded")
	}
	_, _, err := rig.Write(rig.Nodes[2], http.MethodPost, "/v1/pools/"+pool+"/scale", "up", []byte("8"))
	return err
}

func storm(rig *Rig, plan Plan) error {
	for index := range 50 {
		key := fmt.Sprintf("storm-%d-%d", index, rig.now())
		body := fmt.Appendf(nil, `{"homes":{"guest-%d":%q}}`, index%10, rig.Site.Regions()[index%2])
		if _, _, err := rig.Write(rig.Nodes[index%len(rig.Nodes)], http.MethodPatch, "/v1/manifest", key, body); err != nil {
			return err
		}
	}
	return nil
}

func platformBroken(rig *Rig, plan Plan) error {
	time.Sleep(plan.part(0.2))
	rig.Platform.Break(true)
	time.Sleep(plan.part(0.3))
	rig.Platform.Break(false)
	return rig.Await("serving again", rig.bounds.Return(), rig.serves)
}

func gracefulStop(rig *Rig, plan Plan) error {
	time.Sleep(plan.part(0.3))
	node := rig.Nodes[1]
	if !node.Stop() {
		return errors.New("a stop on SIGTERM did not end with exit code 0")
	}
	rig.Ledger.NodeRestarted(node.Machine.Name + "-data")
	time.Sleep(plan.part(0.2))
	return node.Start()
}

// swapCore takes a core machine away for good and puts an empty one at a new address; it must take its place in the chain.
func swapCore(rig *Rig, plan Plan) error {
	time.Sleep(plan.part(0.2))
	old := rig.where(func(node *Node) bool { return node.Machine.Core })[rig.draw(3)]
	old.Kill()
	machine := old.Machine
	machine.Name = "m13"
	fresh, err := rig.newNode(machine)
	if err != nil {
		return err
	}
	seeds := []string{}
	for place, node := range rig.Nodes {
		if node == old {
			rig.Nodes[place] = fresh
		} else if len(seeds) < 3 {
			seeds = append(seeds, node.Settings.Control)
		}
	}
	fresh.Settings.Seeds = seeds
	if err = fresh.Start(); err != nil {
		return err
	}
	return errors.Join(rig.writes("after the swap"), rig.Await("the empty machine in the chain", 2*rig.bounds.Return(), func() bool {
		_, told, err := rig.Operate(fresh.Settings.Control, http.MethodGet, "/v1/chain", "", nil)
		_, chain, found := strings.Cut(string(told), `"chain":`)
		return err == nil && found && strings.Contains(chain, "m13-control")
	}))
}

func wipeCore(rig *Rig, plan Plan) error {
	time.Sleep(plan.part(0.2))
	node := rig.where(func(node *Node) bool { return node.Machine.Core })[rig.draw(3)]
	node.Kill()
	rig.Ledger.NodeRestarted(node.Machine.Name + "-data")
	if err := node.wipe(); err != nil {
		return err
	}
	time.Sleep(plan.part(0.1))
	if err := node.Start(); err != nil {
		return err
	}
	return rig.writes("after the wipe")
}

// everything plays the main failures one after another.
func everything(rig *Rig, plan Plan) error {
	part := plan
	part.Span = plan.Span / 8
	for _, name := range []string{"kill", "freeze", "cut", "wipe core", "kill cores", "drain", "kill region", "server crash"} {
		plan.Say("playing " + name)
		if err := stories[name](rig, part); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}
