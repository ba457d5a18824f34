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

// cutOneWay stops what two machines send; they still hear all.
func cutOneWay(rig *Rig, plan Plan) error {
	time.Sleep(plan.part(0.2))
	for _, node := range rig.some(2) {
		for _, other := range rig.Nodes {
			if other != node {
				node.cut[other.Settings.Control], node.cut[other.Settings.Data] = true, true
			}
		}
	}
	rig.rewrite()
	time.Sleep(plan.part(0.3))
	rig.Heal()
	return rig.Await("serving again", rig.bounds.Return(), rig.serves)
}

const lossPercent = 10

func lossy(rig *Rig, plan Plan) error {
	time.Sleep(plan.part(0.2))
	rig.lose(lossPercent)
	time.Sleep(plan.part(0.5))
	err := rig.writes("while links lose")
	rig.lose(0)
	return err
}

func (rig *Rig) lose(percent int) {
	for _, node := range rig.Nodes {
		node.loss = percent
	}
	rig.rewrite()
}

func (rig *Rig) cores() []*Node {
	return rig.where(func(node *Node) bool { return node.Machine.Core })
}

// lyingDisk takes a core machine back to an older copy of its folder, as a disk does that lost what it had acknowledged.
func lyingDisk(rig *Rig, plan Plan) error {
	time.Sleep(plan.part(0.1))
	node := rig.cores()[rig.draw(3)]
	copied := filepath.Join(node.folder, "older")
	if err := os.CopyFS(copied, os.DirFS(node.Settings.Folder)); err != nil {
		return err
	}
	if err := rig.writes("before the loss"); err != nil {
		return err
	}
	time.Sleep(plan.part(0.1))
	node.Kill()
	rig.Ledger.NodeRestarted(node.Machine.Name + "-data")
	if err := errors.Join(node.wipe(), os.Rename(copied, node.Settings.Folder), node.Start()); err != nil {
		return err
	}
	time.Sleep(plan.part(0.2))
	return errors.Join(rig.writes("after the loss"), rig.readBack())
}

// tornDisk cuts the newest files of a core machine in half while it is down.
func tornDisk(rig *Rig, plan Plan) error {
	time.Sleep(plan.part(0.2))
	node := rig.cores()[rig.draw(3)]
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
	time.Sleep(plan.part(0.1))
	if err = node.Start(); err != nil {
		return err
	}
	time.Sleep(plan.part(0.2))
	return errors.Join(rig.writes("after the tear"), rig.readBack())
}

// readBack wants every accepted revision through any node.
func (rig *Rig) readBack() error {
	for place, revision := range rig.Ledger.AcceptedRevisions() {
		if err := rig.readRevision(place, revision); err != nil {
			return err
		}
	}
	return nil
}

// readRevision wants an accepted revision through one of the nodes.
func (rig *Rig) readRevision(place int, revision int64) error {
	return rig.Await(fmt.Sprintf("revision %d", revision), rig.bounds.Return(), func() bool {
		status, _, _ := rig.Operate(rig.Nodes[place%len(rig.Nodes)].Settings.Control, http.MethodGet, fmt.Sprintf("/v1/manifest?revision=%d", revision), "", nil)
		return status == http.StatusOK
	})
}

func lateReports(rig *Rig, plan Plan) error {
	for _, server := range rig.servers {
		server.Mode("late")
	}
	pool := rig.servers[0].Row.Pool
	_, _, err := rig.Write(rig.Nodes[7], http.MethodPost, "/v1/pools/"+pool+"/scale", "down", []byte("3"))
	if err == nil {
		err = rig.Await("an unload by late reports", 3*rig.bounds.Return(), func() bool {
			rig.Platform.lock.Lock()
			defer rig.Platform.lock.Unlock()
			return len(rig.Platform.Orders) > 0
		})
	}
	for _, server := range rig.servers {
		server.Mode("")
	}
	return err
}

// rolling replaces every server of a region, one after another.
func rolling(rig *Rig, plan Plan) error {
	region, servers := rig.Site.Regions()[0], []*Server{}
	for _, server := range rig.servers {
		if server.Row.Region == region {
			servers = append(servers, server)
		}
	}
	pause := plan.part(0.8) / time.Duration(len(servers))
	for _, server := range servers {
		rig.Platform.Mark(server, pause)
		time.Sleep(pause)
		if err := rig.Platform.Replace(server); err != nil {
			return err
		}
	}
	return nil
}

// Replace puts a cold server in the place of one that was marked.
func (platform *Platform) Replace(server *Server) error {
	server.Crash()
	server.lock.Lock()
	server.leaving, server.leavingMs, server.unloaded = time.Time{}, 0, false
	server.lock.Unlock()
	platform.rig.Ledger.ServerStaying(server.Row.Name)
	return server.start()
}

func crowded(rig *Rig, plan Plan) error {
	time.Sleep(plan.part(0.2))
	crowd := rig.NewCrowd(plan.Seed + 1000)
	crowd.prefix = "crowd-"
	crowd.Run(plan.part(0.4), 3)
	crowd.Wait()
	return nil
}

// races has two operators drain two zones, undrain them, and patch, all at once and through different nodes.
func races(rig *Rig, plan Plan) error {
	zones := []string{}
	for _, node := range rig.Nodes {
		if node.Machine.Region == rig.Site.Regions()[0] && !slices.Contains(zones, node.Machine.Zone) {
			zones = append(zones, node.Machine.Zone)
		}
	}
	time.Sleep(plan.part(0.2))
	for turn, verb := range []string{"drain", "undrain"} {
		group, errs := sync.WaitGroup{}, make([]error, len(zones)+1)
		for place, zone := range zones {
			group.Add(1)
			go func() {
				defer group.Done()
				if verb == "undrain" {
					rig.Ledger.ZoneUndrained(zone, rig.now())
				}
				_, _, errs[place] = rig.Write(rig.Nodes[place*3+turn], http.MethodPost, "/v1/zones/"+zone+"/"+verb, fmt.Sprintf("%s-%s-%d", verb, zone, rig.now()), nil)
				if verb == "drain" && errs[place] == nil {
					rig.Ledger.ZoneDrained(zone, rig.now())
				}
			}()
		}
		group.Add(1)
		go func() {
			defer group.Done()
			errs[len(zones)] = storm(rig, Plan{Seed: plan.Seed})
		}()
		group.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
		time.Sleep(plan.part(0.2))
	}
	return rig.readBack()
}
