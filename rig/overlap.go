package rig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/cedarreel/cedarreel/platform"
)

// changesMeanwhile is how many changes are acknowledged while two lives of each core process run.
const changesMeanwhile = 3

// OverlapLives starts a second life of each core process while the first one still runs, has changes acknowledged, and kills all first lives and all
// data processes at once. It returns an error unless the newest acknowledged configuration is read back from the second lives.
func (single *SingleGateway) OverlapLives() error {
	fleet, first := single.fleet, []*program{}
	for _, machine := range fleet.core() {
		former := machine.process(controlRole)
		former.superseded.Store(true)
		first = append(first, former)
		if err := machine.startRole(controlRole, false); err != nil {
			return err
		}
	}
	for _, machine := range fleet.core() {
		if err := fleet.awaitWait(machine); err != nil {
			return err
		}
	}
	for range changesMeanwhile {
		if err := fleet.operator.change(); err != nil {
			return err
		}
	}
	for _, former := range first {
		former.signal(syscall.SIGKILL)
	}
	for _, machine := range fleet.core() {
		machine.process(dataRole).signal(syscall.SIGKILL)
	}
	return fleet.operator.readBack()
}

// overlapEvery is in how many stops of a site's soak the next lives are started at once, beside those that stop.
const overlapEvery = 3

// overlapLives starts the next lives of a machine's processes while the former ones still stop.
func (fleet *gatewayFleet) overlapLives(machine *gatewayMachine, stopping map[string]*program) {
	fleet.count("lives that overlap")
	for role, former := range stopping {
		former.superseded.Store(true)
		fleet.failIf(machine.startRole(role, false))
	}
}

// awaitWait waits until the newest life of a machine's control process has logged that its start waits.
func (fleet *gatewayFleet) awaitWait(machine *gatewayMachine) error {
	for began := fleet.now(); fleet.now() < began+restartLimit; time.Sleep(pollInterval) {
		if len(machine.logLines(controlRole, "start waits")) > 0 {
			return nil
		}
	}
	return fmt.Errorf("the second life of %s does not wait", machine.name)
}

// readBack reads the configuration until it comes, and returns an error unless it is the newest that was acknowledged.
func (operator *gatewayOperator) readBack() error {
	fleet := operator.fleet
	for began := fleet.now(); fleet.now() < began+restartLimit; time.Sleep(pollInterval) {
		core := fleet.core()
		response, err := fleet.client.Get("http://" + core[fleet.below(len(core))].at(controlPort) + platform.DescribePath)
		if err != nil {
			continue
		}
		var described struct{ Revision int64 }
		err = json.NewDecoder(response.Body).Decode(&described)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			continue
		}
		if described.Revision != operator.revision {
			return fmt.Errorf("revision %d is read back, %d was acknowledged", described.Revision, operator.revision)
		}
		return nil
	}
	return fmt.Errorf("the configuration does not come back within %v", restartLimit)
}
