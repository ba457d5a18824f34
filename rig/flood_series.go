package rig

import (
	"context"
	"time"
)

const (
	// floodPause is the mean pause between two servers of one series that send without end.
	floodPause = 4 * time.Second
	// floodSeries is how many servers may send without end at once.
	floodSeries  = 2
	leastFlood   = 2 * time.Second
	longestFlood = 6 * time.Second
	// listFloodPause is the mean pause between two floods in place of the list of servers.
	listFloodPause = 12 * time.Second
	listFloodSpan  = time.Second
)

// startFloods starts the series of servers, and of a list of servers, that send without end.
func (fleet *gatewayFleet) startFloods(ctx context.Context) {
	for range floodSeries {
		fleet.startSeries(ctx, floodPause, fleet.floodServer)
	}
	fleet.startSeries(ctx, listFloodPause, fleet.floodList)
}

// drawFault returns a random way to send without end.
func (fleet *gatewayFleet) drawFault() *AnswerFault {
	faults := AnswerFaults()
	return &faults[fleet.below(len(faults))]
}

// floodServer lets a random server send without end for a time.
func (fleet *gatewayFleet) floodServer() {
	service := fleet.shape.services[fleet.below(len(fleet.shape.services))]
	servers, fault := fleet.platform.serversOf(service.name), fleet.drawFault()
	if len(servers) == 0 {
		return
	}
	server := servers[fleet.below(len(servers))]
	if !server.fault.CompareAndSwap(nil, fault) {
		return
	}
	fleet.count("flood of " + service.name + ": " + fault.String())
	time.Sleep(fleet.between(leastFlood, longestFlood))
	server.fault.Store(nil)
}

// floodList lets the platform send without end in place of the list of servers for a time.
func (fleet *gatewayFleet) floodList() {
	fault := fleet.drawFault()
	fleet.count("flood in place of the list: " + fault.String())
	fleet.platform.listFault.Store(fault)
	time.Sleep(listFloodSpan)
	fleet.platform.listFault.Store(nil)
}
