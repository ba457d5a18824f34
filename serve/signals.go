package serve

import (
	"os"
	"os/signal"
	"syscall"
)

// stopSignals and reloadSignals receive signals from the start of a program on, so that one during startup neither kills the process nor
// is lost. Several pending signals of a kind count once.
var (
	stopSignals   = make(chan os.Signal, 1)
	reloadSignals = make(chan os.Signal, 1)
)

// catchSignals treats SIGTERM and SIGINT as requests to stop, and SIGHUP as a request to reload the settings. SIGPIPE is ignored, since by default
// the runtime ends a process whose standard output or error has no reader left.
func catchSignals() {
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloadSignals, syscall.SIGHUP)
}
