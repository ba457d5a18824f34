package signals

// SIGHUP is ignored from the loading of the program on until init catches it: the settings are read after that. The runtime leaves a SIGHUP that is
// ignored at its start alone. Without cgo this file is left out.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_early(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
