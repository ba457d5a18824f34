package shard

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// handleReport updates a server's state by its report, or forwards the report to the peer that asked for it.
func (manager *Manager) handleReport(now time.Duration, event ReportResult) {
	if event.Request.ReplyTo != "" {
		manager.emit(contract.Send{To: event.Request.ReplyTo, Kind: MessageReportReply, Body: ReportReply{Server: event.Server, RequestedAt: event.Request.RequestedAt, Report: event.Report, Error: event.Error}})
		return
	}
	server, found := manager.servers[event.Server]
	if !found || event.Error != "" && !event.ViaPeer && manager.requestReportFromPeer(now, event.Server) {
		return
	}
	server.readPending = false
	if event.Error == "" && !event.Report.Complete {
		manager.emit(contract.AddCounter{Name: "reports_partial", Delta: 1})
	}
	if event.Error != "" {
		server.failures++
		manager.emit(contract.AddCounter{Name: "reports_broken", Delta: 1})
	} else if event.Report.Incarnation == server.incarnation {
		if !server.reported {
			server.reported = true
			server.ramping = event.Report.Running == 0 && len(event.Report.Prefixes) == 0
			server.rampStart = now
			if !server.ramping && server.listedSince >= 0 && now-server.listedSince < manager.clusterState.Manifest.Retirement.RampDuration {
				server.ramping, server.rampStart = true, server.listedSince
			}
		}
		if server.failures >= unreachableFailures {
			server.ramping, server.rampStart = true, now
		}
		if event.Report.Number != server.report.Number {
			server.sampledAt = event.StartedAt - time.Duration(event.Report.AgeMs)*time.Millisecond
		}
		server.failures, server.report = 0, event.Report
	}
	for _, index := range sortedIndexes(manager.shardStates) {
		if retirement, found := manager.shardStates[index].retirements[event.Server]; found && manager.shardStates[index].isOwner {
			if retirement.Read(now, event.ReadResult) {
				manager.releaseServer(now, manager.shardStates[index], retirement)
			}
		}
	}
}
