// Package signals catches the signals of a program as early as a Go program can. It is imported by main packages alone: the import changes what
// signals do to the process. It imports next to nothing, so that the runtime initialises it before larger packages; a signal that comes before
// that has its default action, but for SIGHUP (early.go).
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Stop receives requests to stop, SIGTERM and SIGINT, and Reload those to read the settings again, SIGHUP. Several pending signals of a kind
// count once.
var (
	Stop   = make(chan os.Signal, 1)
	Reload = make(chan os.Signal, 1)
)

func init() {
	signal.Notify(Reload, syscall.SIGHUP)
	signal.Notify(Stop, syscall.SIGTERM, syscall.SIGINT)
	// By default the runtime ends a process that writes to a standard output or error without a reader.
	signal.Ignore(syscall.SIGPIPE)
}
