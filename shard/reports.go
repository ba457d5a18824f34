package shard

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

func (owner *Owner) reportRead(now time.Duration, event ReportRead) {
	if event.For.Back != "" {
		owner.emit(contract.Send{To: event.For.Back, Kind: MessageReadTold, Body: ReadTold{Server: event.Server, Asked: event.For.Asked, Report: event.Report, Error: event.Error}})
		return
	}
	known, there := owner.servers[event.Server]
	if !there || event.Error != "" && !event.Around && owner.readAround(now, event.Server) {
		return
	}
	known.reading = false
	if event.Error == "" && !event.Report.Complete {
		owner.emit(contract.AddCounter{Name: "reports_partial", Delta: 1})
	}
	if event.Error != "" {
		known.failures++
		owner.emit(contract.AddCounter{Name: "reports_broken", Delta: 1})
	} else if event.Report.Incarnation == known.incarnation {
		if !known.good {
			known.good = true
			known.ramping = event.Report.Running == 0 && len(event.Report.Prefixes) == 0
			known.rampFrom = now
			if !known.ramping && known.listedFrom >= 0 && now-known.listedFrom < owner.seen.Manifest.Retirement.Ramp {
				known.ramping, known.rampFrom = true, known.listedFrom
			}
		}
		if known.failures >= darkAfter {
			known.ramping, known.rampFrom = true, now
		}
		if event.Report.Number != known.report.Number {
			known.sampled = event.Began - time.Duration(event.Report.AgeMs)*time.Millisecond
		}
		known.failures, known.report = 0, event.Report
	}
	for _, index := range manifestOrder(owner.duties) {
		if retirement, there := owner.duties[index].retirements[event.Server]; there && owner.duties[index].owning {
			if retirement.Read(now, event.Outcome) {
				owner.release(now, owner.duties[index], retirement)
			}
		}
	}
}
