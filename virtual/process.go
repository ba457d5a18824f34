package virtual

// Process is one life of a program: while it is frozen everything waits for it, when it is dead everything is lost.
type Process struct {
	Up      bool
	Frozen  bool
	waiting []func()
}

// Do runs something inside the process: later if it is frozen, never if it died.
func (process *Process) Do(then func()) {
	switch {
	case !process.Up:
	case process.Frozen:
		process.waiting = append(process.waiting, then)
	default:
		then()
	}
}

// Thaw ends a freeze; what waited happens in its order.
func (process *Process) Thaw() {
	waiting := process.waiting
	process.Frozen, process.waiting = false, nil
	for _, then := range waiting {
		process.Do(then)
	}
}

// Kill ends the process, and with it what waited.
func (process *Process) Kill() { *process = Process{} }
