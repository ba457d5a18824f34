package main

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Times of the case early-wipe.
const (
	// wipeAfter is how long after the first start one core machine loses its disk.
	wipeAfter = time.Second
	// firstConfigurationLimit is how long the operator sends the first configuration: many times ackTimeoutMs, contactMs and recoveryS.
	firstConfigurationLimit = 75 * time.Second
)

var errNotTaken = errors.New("the first configuration was not taken")

// earlyWipe starts the system for the first time, and one core machine loses its disk a second later. The platform starts its processes again, with an
// empty disk and bootstrap false. The rule is broken if the operator's first configuration is not acknowledged although all machines then run
// undisturbed for over a minute, and no configuration comes when it is read back at the end.
func earlyWipe(fleet *fleet, trouble bool) (bool, error) {
	lost, record := fleet.machineNamed("edge-cyber-hall-1"), fleet.record
	time.Sleep(wipeAfter)
	if trouble {
		record.line("platform: the processes of %s are killed, and its disk is lost", lost.name)
		lost.signal(syscall.SIGKILL)
		time.Sleep(restartPause / 2)
		for _, role := range lost.roles() {
			if err := os.RemoveAll(filepath.Join(lost.folder(), "data-"+role)); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(2 * time.Second)
	err := fleet.operator.install(firstConfigurationLimit)
	if err == nil {
		return false, nil
	}
	if !errors.Is(err, errNotTaken) {
		return false, err
	}
	read := fleet.operator.readBack(contact)
	ready := 0
	for _, machine := range fleet.machines {
		if machine.isReady() {
			ready++
		}
	}
	record.line("CONFIG: read back at the end for %v, the configuration came: %v", contact, read)
	record.line("CONFIG: no machine acknowledged the first configuration for %v; %d of %d machines are ready", firstConfigurationLimit, ready, len(fleet.machines))
	return !read, nil
}
