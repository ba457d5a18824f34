package serve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/gateway"
)

// callerConns tells the router when requests begin and finish on callers' connections. A request has finished once its answer was written or
// its connection was closed.
type callerConns struct {
	process *gatewayProcess
	lock    sync.Mutex
	active  map[net.Conn]bool
}

func newCallerConns(process *gatewayProcess) *callerConns {
	return &callerConns{process: process, active: map[net.Conn]bool{}}
}

// stateChanged is the http.Server's ConnState hook.
func (conns *callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	connStateChanged(conn, state)
	conns.lock.Lock()
	wasActive := conns.active[conn]
	if state == http.StateActive {
		conns.active[conn] = true
	} else {
		delete(conns.active, conn)
	}
	conns.lock.Unlock()
	switch isActive := state == http.StateActive; {
	case isActive && !wasActive:
		conns.process.handle(gateway.CallBegan{})
	case wasActive && !isActive:
		conns.process.handle(gateway.CallFinished{})
	}
}

// trafficServer returns the HTTP server for callers.
func (process *gatewayProcess) trafficServer() *http.Server {
	return &http.Server{Handler: http.HandlerFunc(process.serveCall), ConnContext: process.connContext, ConnState: newCallerConns(process).stateChanged,
		ErrorLog: discardLog()}
}

// stopTraffic carries out what the router decides about a stop, and returns when the process may end.
func (process *gatewayProcess) stopTraffic(server *http.Server) {
	requestedAt := process.Loop.Now()
	ticker := time.NewTicker(gateway.ShutdownTick(process.Settings.Gateway))
	defer ticker.Stop()
	closing, stopClosing := context.WithCancel(context.Background())
	defer stopClosing()
	for event := contract.Event(gateway.StopRequested{}); ; event = (contract.Tick{}) {
		for _, command := range process.handle(event) {
			switch command := command.(type) {
			case gateway.LeaveFleet:
				process.leaving.Store(true)
				process.Loop.Post(gateway.Leave{})
			case gateway.CloseToCallers:
				go func() { _ = server.Shutdown(closing) }()
			case gateway.EndTraffic:
				process.logCutCalls(requestedAt)
				return
			default:
				process.Loop.Execute(command)
			}
		}
		<-ticker.C
	}
}

// markClosing tells the caller that its connection is closed after this answer, if the process is stopping.
func (process *gatewayProcess) markClosing(header http.Header) {
	if process.leaving.Load() {
		header.Set("Connection", "close")
	}
}
