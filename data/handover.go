package data

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
)

const (
	maxExportedRecords = 8192
	// exportBatchSize is the number of records in one message.
	exportBatchSize = 512
)

// Export asks a peer for the idempotency records that a node lost by its restart: those of the node's region or, within the region,
// all of them, since its nodes hold records of other regions' calls too.
type Export struct {
	Address    string `json:"address"`
	Region     string `json:"region"`
	AllRegions bool   `json:"all"`
}

// ExportReply carries a batch of records to a restarted node. Last marks the final batch.
type ExportReply struct {
	Records []call.Record `json:"records"`
	Last    bool          `json:"last"`
}

// requestExports asks the live data nodes of all regions for records until each has answered, for some time after a start.
func (router *Router) requestExports(now time.Duration) {
	if router.table.Uptime(now) > router.Bounds.Return() || now < router.nextExport {
		return
	}
	router.nextExport = now + router.Bounds.Round()
	for _, member := range router.Neighbours.Members(now) {
		if router.mayOweRecords(member) {
			export := Export{Address: router.Self().Address, Region: router.Self().Region, AllRegions: member.Region == router.Self().Region}
			router.emit(contract.Send{To: member.Address, Kind: MessageExport, Body: export})
		}
	}
}

// mayOweRecords reports whether a member may have records for this node and has not exported them since its last start.
func (router *Router) mayOweRecords(member contract.Member) bool {
	return member.Kind == contract.KindData && member.Name != router.Self().Name && router.importedFrom[member.Name] != member.Boot
}

// caughtUp reports whether this node has received its peers' records after its start, or has waited long enough for them. Until
// then its grants do not count, since it may have forgotten a claim.
func (router *Router) caughtUp(now time.Duration) bool {
	uptime := router.table.Uptime(now)
	if uptime > router.Bounds.Deliver() {
		return true
	}
	return uptime > router.Bounds.Deliver()/3 && !slices.ContainsFunc(router.Neighbours.Members(now), router.mayOweRecords)
}

// remoteReplicasFor returns the addresses of nodes in other regions that store a copy of a call's record. Their grants are not
// waited for; they export the records again if all nodes of the home region restart at once.
func (router *Router) remoteReplicasFor(now time.Duration, scopedKey string) []string {
	return router.dataNodes(now, "back/"+scopedKey, maxRemoteReplicas, func(region string) bool { return region != router.Self().Region })
}

// handleExport sends a peer the records that it asks for, in batches. An empty result is sent too, as the last batch.
func (router *Router) handleExport(now time.Duration, request Export) {
	records := router.table.Export(now, request.Region, request.AllRegions, maxExportedRecords)
	for first := true; first || len(records) > 0; first = false {
		count := min(exportBatchSize, len(records))
		router.emit(contract.Send{To: request.Address, Kind: MessageExportReply, Body: ExportReply{Records: records[:count], Last: count == len(records)}})
		records = records[count:]
	}
}

func (router *Router) importRecords(now time.Duration, message contract.Message, exported ExportReply) {
	for _, record := range exported.Records {
		router.table.Import(now, record)
	}
	router.emit(contract.AddCounter{Name: "records_handed_over", Delta: int64(len(exported.Records))})
	if exported.Last {
		router.importedFrom[message.From] = message.Boot
	}
}
