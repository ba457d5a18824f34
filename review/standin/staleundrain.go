package main

import (
	"syscall"
	"time"
)

// Times of the case stale-undrain.
const (
	evacuatedZone = "bayan-hall"
	// evacuationTime is how long each evacuation lasts, freezeTime how long the machine stands still.
	evacuationTime = 8 * time.Second
	freezeTime     = 4 * time.Second
	// orderAfterFreeze is when, after the machine began to stand still, the evacuation is taken back.
	orderAfterFreeze = 2500 * time.Millisecond
	// contact and evacuationBound are the deployment's contactMs and evacuationMs.
	contact         = 5 * time.Second
	evacuationBound = 5 * time.Second
	orderLimit      = 6 * time.Second
)

// staleUndrain evacuates a zone, takes that back while one core machine stands still, and evacuates the zone again at once. The operator's first try
// to take the evacuation back goes to the machine that stands still, so it is sent again to another one.
func staleUndrain(fleet *fleet, trouble bool) (bool, error) {
	operator, record := fleet.operator, fleet.record
	if err := fleet.configure(); err != nil {
		return false, err
	}
	frozen := fleet.machineNamed("edge-klia-hall-1")
	others := []*machine{fleet.machineNamed("edge-cyber-hall-1"), fleet.machineNamed("edge-bayan-hall-1")}
	all := append([]*machine{frozen}, others...)
	create, terminate := names.DrainPath+evacuatedZone+"/create", names.DrainPath+evacuatedZone+"/terminate"
	fleet.clients.start()
	time.Sleep(contact)
	if _, err := operator.order(others, create, orderLimit); err != nil {
		return false, err
	}
	time.Sleep(evacuationTime)
	settledAt := record.now()
	if trouble {
		record.line("platform: %s freezes", frozen.name)
		frozen.signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() {
			frozen.signal(syscall.SIGCONT)
			record.line("platform: %s wakes", frozen.name)
		})
		settledAt = record.now() + freezeTime + contact
		time.Sleep(orderAfterFreeze)
	}
	if _, err := operator.order(all, terminate, orderLimit); err != nil {
		return false, err
	}
	acknowledged, err := operator.order(others, create, orderLimit)
	if err != nil {
		return false, err
	}
	from, until := max(acknowledged+evacuationBound, settledAt)+200*time.Millisecond, acknowledged+evacuationTime
	record.line("EVAC: %s is evacuated; from %.3f to %.3f no request of a machine in touch may reach its servers", evacuatedZone, from.Seconds(), until.Seconds())
	time.Sleep(until - record.now())
	fleet.clients.stop()
	breaches := 0
	for _, arrival := range fleet.platform.arrivals(evacuatedZone, from, until) {
		breaches++
		if sender := fleet.clients.machineOf(arrival.id); sender != nil && breaches <= 20 {
			record.line("EVAC: request %s, sent to %s, reached %s in %s at %.3f", arrival.id, sender.name, arrival.server.id, evacuatedZone, arrival.at.Seconds())
		}
	}
	record.line("EVAC: %d requests reached the evacuated zone in that time", breaches)
	if _, err = operator.order(others, terminate, orderLimit); err != nil {
		record.line("the last evacuation was not taken back: %v", err)
	}
	return breaches > 0, nil
}
