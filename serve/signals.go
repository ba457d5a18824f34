package serve

import "os"

// Signals are the channels on which a program receives requests to stop and to reload its settings. They are set up before the program starts, so
// that a signal during the start neither kills the process nor is lost.
type Signals struct {
	Stop   <-chan os.Signal
	Reload <-chan os.Signal
}

// stopSignals and reloadSignals are those of this program. Without them, as in tests, no signal arrives.
var stopSignals, reloadSignals <-chan os.Signal

func (signals Signals) use() {
	stopSignals, reloadSignals = signals.Stop, signals.Reload
}
