package data

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
)

const (
	shareMost  = 8192
	shareBatch = 512
)

// Share asks for the records that a node that just started should have had: those of its region, and of a peer all, since both
// keep calls of other regions too.
type Export struct {
	Address string `json:"address"`
	Region  string `json:"region"`
	All     bool   `json:"all"`
}

type Exported struct {
	Records []call.Record `json:"records"`
	Last    bool          `json:"last"`
}

// askShares asks each live data node, of any region, until it answered, as long as this node is new.
func (owner *Owner) askShares(now time.Duration) {
	if owner.table.Uptime(now) > owner.Bounds.Return() || now < owner.nextShare {
		return
	}
	owner.nextShare = now + owner.Bounds.Round()
	for _, member := range owner.Neighbours.Members(now) {
		if owner.owes(member) {
			ask := Export{Address: owner.Self().Address, Region: owner.Self().Region, All: member.Region == owner.Self().Region}
			owner.emit(contract.Send{To: member.Address, Kind: MessageExport, Body: ask})
		}
	}
}

// owes tells whether a member could have records for this node and has not handed them over.
func (owner *Owner) owes(member contract.Member) bool {
	return member.Kind == contract.KindData && member.Name != owner.Self().Name && owner.shared[member.Name] != member.Boot
}

// settled holds when this node knows what the others kept for it, or has waited long enough for that.
func (owner *Owner) settled(now time.Duration) bool {
	uptime := owner.table.Uptime(now)
	if uptime > owner.Bounds.Deliver() {
		return true
	}
	return uptime > owner.Bounds.Deliver()/3 && !slices.ContainsFunc(owner.Neighbours.Members(now), owner.owes)
}

// backersOf gives nodes of other regions that keep a call too, and are not waited for: if every node of the home region is
// lost at once, they hand the records back.
func (owner *Owner) backersOf(now time.Duration, scoped string) []string {
	return owner.dataNodes(now, "back/"+scoped, backersMost, func(region string) bool { return region != owner.Self().Region })
}

func (owner *Owner) share(now time.Duration, ask Export) {
	records := owner.table.Export(now, ask.Region, ask.All, shareMost)
	for first := true; first || len(records) > 0; first = false {
		count := min(shareBatch, len(records))
		owner.emit(contract.Send{To: ask.Address, Kind: MessageExported, Body: Exported{Records: records[:count], Last: count == len(records)}})
		records = records[count:]
	}
}

func (owner *Owner) takeShare(now time.Duration, message contract.Message, shared Exported) {
	for _, record := range shared.Records {
		owner.table.Import(now, record)
	}
	owner.emit(contract.Count{Name: "records_handed_over", By: int64(len(shared.Records))})
	if shared.Last {
		owner.shared[message.From] = message.Boot
	}
}
