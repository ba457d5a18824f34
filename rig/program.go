package rig

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// program is one process of a machine. ended is closed when the process has ended; lifetime and the state of command are valid only after
// that.
type program struct {
	name      string
	command   *exec.Cmd
	startedAt time.Time
	lifetime  time.Duration
	ended     chan struct{}
}

// startProgram starts a program of a node with its settings file and appends its output to a log file.
func (node *Node) startProgram(name, path string) (*program, error) {
	command := exec.Command(filepath.Join(node.nextBuildFolder(name), name), "--env", path, "--faults", node.faultsPath())
	return launch(name, command, filepath.Join(node.folder, name+".log"))
}

// launch starts a command and appends its output to a log file.
func launch(name string, command *exec.Cmd, logPath string) (*program, error) {
	output, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	command.Stdout, command.Stderr = output, output
	if err = command.Start(); err != nil {
		return nil, err
	}
	started := &program{name: name, command: command, startedAt: time.Now(), ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		started.lifetime = time.Since(started.startedAt)
		close(started.ended)
	}()
	return started, nil
}

// pid returns the process id.
func (program *program) pid() int { return program.command.Process.Pid }

// signal sends a signal and ignores the error of a process that has ended.
func (program *program) signal(signal syscall.Signal) { _ = program.command.Process.Signal(signal) }

// hasEnded reports whether the process has ended.
func (program *program) hasEnded() bool {
	select {
	case <-program.ended:
		return true
	default:
		return false
	}
}

// waitForCleanExit waits until the process has ended and reports whether its exit code was 0.
func (program *program) waitForCleanExit() bool {
	<-program.ended
	return program.command.ProcessState.Success()
}

// endedBySignal reports whether a process that has ended was killed by a signal.
func (program *program) endedBySignal() bool {
	status, ok := program.command.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled()
}
