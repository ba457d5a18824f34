package rig

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// program is one process of a machine. Ended is closed when it is over; its state, and how long it lived, can be read from then on.
type program struct {
	name    string
	command *exec.Cmd
	began   time.Time
	lived   time.Duration
	ended   chan struct{}
}

// start runs a program of a node with its settings file, its lines go to a log file.
func (node *Node) start(name, path string) (*program, error) {
	output, err := os.OpenFile(filepath.Join(node.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	command := exec.Command(filepath.Join(node.folderOfBuild(name), name), "--env", path, "--faults", node.faultsPath())
	command.Stdout, command.Stderr = output, output
	if err = command.Start(); err != nil {
		return nil, err
	}
	started := &program{name: name, command: command, began: time.Now(), ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		started.lived = time.Since(started.began)
		close(started.ended)
	}()
	return started, nil
}

func (program *program) pid() int { return program.command.Process.Pid }

func (program *program) signal(signal syscall.Signal) { _ = program.command.Process.Signal(signal) }

// over tells whether the process has ended.
func (program *program) over() bool {
	select {
	case <-program.ended:
		return true
	default:
		return false
	}
}

// clean waits for the end and tells whether it came with exit code 0.
func (program *program) clean() bool {
	<-program.ended
	return program.command.ProcessState.Success()
}

// signalled tells whether a process that is over was ended by a signal rather than by itself.
func (program *program) signalled() bool {
	status, fine := program.command.ProcessState.Sys().(syscall.WaitStatus)
	return fine && status.Signaled()
}
