package rig

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// cutOneWay drops what two machines send; they still receive everything.
func cutOneWay(rig *Rig, plan Plan) error {
	time.Sleep(plan.fraction(0.2))
	for _, node := range rig.randomNodes(2) {
		for _, other := range rig.Nodes {
			if other != node {
				node.cutOff(other)
			}
		}
	}
	rig.writeAllFaults()
	time.Sleep(plan.fraction(0.3))
	rig.Heal()
	return rig.Await("serving again", rig.bounds.Return(), rig.isServing)
}

// lossPercent is the message loss of the story with lossy links.
const lossPercent = 10

// lossyLinks makes all links lose messages; writes must still be accepted.
func lossyLinks(rig *Rig, plan Plan) error {
	time.Sleep(plan.fraction(0.2))
	rig.setLoss(lossPercent)
	time.Sleep(plan.fraction(0.5))
	err := rig.awaitWrite("while links lose")
	rig.setLoss(0)
	return err
}

// setLoss sets the message loss of all links.
func (rig *Rig) setLoss(percent int) {
	for _, node := range rig.Nodes {
		node.faultsLock.Lock()
		node.lossPercent = percent
		node.faultsLock.Unlock()
	}
	rig.writeAllFaults()
}

// coreNodes returns the core machines.
func (rig *Rig) coreNodes() []*Node {
	return rig.nodesWhere(func(node *Node) bool { return node.Machine.Core })
}

// lostDiskWrites resets a core machine to an older copy of its data, as after a disk that lost writes it had acknowledged.
func lostDiskWrites(rig *Rig, plan Plan) error {
	time.Sleep(plan.fraction(0.1))
	node := rig.coreNodes()[rig.randomBelow(3)]
	backup := filepath.Join(node.folder, "older")
	if err := os.CopyFS(backup, os.DirFS(node.Settings.Folder)); err != nil {
		return err
	}
	if err := rig.awaitWrite("before the loss"); err != nil {
		return err
	}
	time.Sleep(plan.fraction(0.1))
	node.Kill()
	rig.Ledger.NodeRestarted(node.Machine.Name + "-data")
	if err := errors.Join(node.wipeData(), os.Rename(backup, node.Settings.Folder), node.Start()); err != nil {
		return err
	}
	time.Sleep(plan.fraction(0.2))
	return errors.Join(rig.awaitWrite("after the loss"), rig.readBackAccepted())
}

// tornDisk truncates the newest files of a core machine to half their size while it is down.
func tornDisk(rig *Rig, plan Plan) error {
	time.Sleep(plan.fraction(0.2))
	node := rig.coreNodes()[rig.randomBelow(3)]
	node.Kill()
	rig.Ledger.NodeRestarted(node.Machine.Name + "-data")
	entries, err := os.ReadDir(node.Settings.Folder)
	if err != nil || len(entries) == 0 {
		return errors.Join(err, errors.New("the folder has no files"))
	}
	for _, entry := range entries[max(0, len(entries)-2):] {
		path := filepath.Join(node.Settings.Folder, entry.Name())
		if information, err := os.Stat(path); err == nil && !information.IsDir() {
			if err = os.Truncate(path, information.Size()/2); err != nil {
				return err
			}
		}
	}
	time.Sleep(plan.fraction(0.1))
	if err = node.Start(); err != nil {
		return err
	}
	time.Sleep(plan.fraction(0.2))
	return errors.Join(rig.awaitWrite("after the tear"), rig.readBackAccepted())
}

// readBackAccepted checks that every accepted revision can be read.
func (rig *Rig) readBackAccepted() error {
	for index, revision := range rig.Ledger.AcceptedRevisions() {
		if err := rig.awaitRevision(index, revision); err != nil {
			return err
		}
	}
	return nil
}

// awaitRevision waits until an accepted revision can be read through the node of an index.
func (rig *Rig) awaitRevision(index int, revision int64) error {
	return rig.Await(fmt.Sprintf("revision %d", revision), rig.bounds.Return(), func() bool {
		status, _, _ := rig.Operate(rig.Nodes[index%len(rig.Nodes)].Settings.Control, http.MethodGet, fmt.Sprintf("/v1/manifest?revision=%d", revision), "", nil)
		return status == http.StatusOK
	})
}

// lateReports makes all servers repeat old load reports; scaling down must still unload a server.
func lateReports(rig *Rig, plan Plan) error {
	for _, server := range rig.servers {
		server.SetMode("late")
	}
	pool := rig.servers[0].Spec.Pool
	_, _, err := rig.Write(rig.Nodes[7], http.MethodPost, "/v1/pools/"+pool+"/scale", "down", []byte("3"))
	if err == nil {
		err = rig.Await("an unload by late reports", 3*rig.bounds.Return(), func() bool {
			rig.Platform.lock.Lock()
			defer rig.Platform.lock.Unlock()
			return len(rig.Platform.Orders) > 0
		})
	}
	for _, server := range rig.servers {
		server.SetMode("")
	}
	return err
}

// rollingReplacement replaces every server of a region, one after another.
func rollingReplacement(rig *Rig, plan Plan) error {
	region, servers := rig.Site.Regions()[0], []*Server{}
	for _, server := range rig.servers {
		if server.Spec.Region == region {
			servers = append(servers, server)
		}
	}
	pause := plan.fraction(0.8) / time.Duration(len(servers))
	for _, server := range servers {
		rig.Platform.MarkLeaving(server, pause)
		time.Sleep(pause)
		if err := rig.Platform.Replace(server); err != nil {
			return err
		}
	}
	return nil
}

// Replace restarts a server that was marked as leaving with empty caches and removes the mark.
func (platform *Platform) Replace(server *Server) error {
	server.Crash()
	server.lock.Lock()
	server.leavingSince, server.leavingWindowMs, server.unloaded = time.Time{}, 0, false
	server.lock.Unlock()
	platform.rig.Ledger.ServerStaying(server.Spec.Name)
	return server.start()
}

// extraTraffic adds three times the site's traffic for a part of the run.
func extraTraffic(rig *Rig, plan Plan) error {
	time.Sleep(plan.fraction(0.2))
	traffic := rig.NewTraffic(plan.Seed + 1000)
	traffic.keyPrefix = "crowd-"
	traffic.Run(plan.fraction(0.4), 3)
	traffic.Wait()
	return nil
}

// concurrentOperators drains and then undrains all zones of a region through different nodes while manifest writes are sent.
func concurrentOperators(rig *Rig, plan Plan) error {
	zones := []string{}
	for _, node := range rig.Nodes {
		if node.Machine.Region == rig.Site.Regions()[0] && !slices.Contains(zones, node.Machine.Zone) {
			zones = append(zones, node.Machine.Zone)
		}
	}
	time.Sleep(plan.fraction(0.2))
	for round, verb := range []string{"drain", "undrain"} {
		group, errs := sync.WaitGroup{}, make([]error, len(zones)+1)
		for index, zone := range zones {
			group.Add(1)
			go func() {
				defer group.Done()
				if verb == "undrain" {
					rig.Ledger.ZoneUndrained(zone, rig.now())
				}
				_, _, errs[index] = rig.Write(rig.Nodes[index*3+round], http.MethodPost, "/v1/zones/"+zone+"/"+verb, fmt.Sprintf("%s-%s-%d", verb, zone, rig.now()), nil)
				if verb == "drain" && errs[index] == nil {
					rig.Ledger.ZoneDrained(zone, rig.now())
				}
			}()
		}
		group.Add(1)
		go func() {
			defer group.Done()
			errs[len(zones)] = writeBurst(rig, Plan{Seed: plan.Seed})
		}()
		group.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
		time.Sleep(plan.fraction(0.2))
	}
	return rig.readBackAccepted()
}
