package virtual

// Process is one run of a program. Actions wait while it is frozen and are lost when it is killed. The zero value is a process that is not
// running.
type Process struct {
	Up      bool
	Frozen  bool
	pending []func()
}

// Run performs an action of the process: at once, after the thaw if it is frozen, or never if it is not running.
func (process *Process) Run(action func()) {
	switch {
	case !process.Up:
	case process.Frozen:
		process.pending = append(process.pending, action)
	default:
		action()
	}
}

// Thaw ends a freeze and performs the pending actions in order.
func (process *Process) Thaw() {
	pending := process.pending
	process.Frozen, process.pending = false, nil
	for _, action := range pending {
		process.Run(action)
	}
}

// Kill ends the process and discards the pending actions.
func (process *Process) Kill() { *process = Process{} }
