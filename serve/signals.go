package serve

import (
	"os"
	"os/signal"
	"syscall"
)

// stops and hangups hold the signals that came, from the first lines of a program on: one that comes while a process starts must neither end
// it nor be lost. More than one of a kind counts once.
var (
	stops   = make(chan os.Signal, 1)
	hangups = make(chan os.Signal, 1)
)

// catchSignals takes SIGTERM and SIGINT as an order to stop, and SIGHUP as word of a changed settings file.
func catchSignals() {
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangups, syscall.SIGHUP)
}
