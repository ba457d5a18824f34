package rig

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
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
	logPath   string
	// told says that a signal was sent that ends the process.
	told atomic.Bool
	// superseded says that another life was started beside this one, so that none is started when this one has ended.
	superseded atomic.Bool
}

// startProgram starts a program of a node with its settings file and appends its output to a log file.
func (node *Node) startProgram(name, path string) (*program, error) {
	command := exec.Command(filepath.Join(node.nextBuildFolder(name), name), "--env", path, "--faults", node.faultsPath())
	return launch(name, command, filepath.Join(node.folder, name+".log"))
}

func openLog(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// launch starts a command and appends its output to a log file.
func launch(name string, command *exec.Cmd, logPath string) (*program, error) {
	output, err := openLog(logPath)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	command.Stdout, command.Stderr = output, output
	return start(name, command, logPath)
}

// launchWithReader starts a command whose output goes to a log file through a pipe. The reader of the pipe goes away after a time.
func launchWithReader(name string, command *exec.Cmd, logPath string, readFor time.Duration) (*program, error) {
	output, err := openLog(logPath)
	if err != nil {
		return nil, err
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer writer.Close()
	command.Stdout, command.Stderr = writer, writer
	go func() {
		defer output.Close()
		_, _ = io.Copy(output, reader)
	}()
	time.AfterFunc(readFor, func() { _ = reader.Close() })
	return start(name, command, logPath)
}

// start starts a command whose output is set up.
func start(name string, command *exec.Cmd, logPath string) (*program, error) {
	if err := command.Start(); err != nil {
		return nil, err
	}
	started := &program{name: name, command: command, startedAt: time.Now(), ended: make(chan struct{}), logPath: logPath}
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
func (program *program) signal(signal syscall.Signal) {
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		program.told.Store(true)
	}
	_ = program.command.Process.Signal(signal)
}

// lastLines returns the end of the log, for a report.
func (program *program) lastLines() string {
	content, _ := os.ReadFile(program.logPath)
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	return strings.Join(lines[max(0, len(lines)-reportedLines):], "\n    ")
}

// reportedLines is how many lines of a log a report quotes.
const reportedLines = 3

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

// RunWithPrograms builds the programs of a machine into a temporary folder, runs tests that find them in bin, and returns their exit code.
func RunWithPrograms(run func() int, bin *string) int {
	folder, err := os.MkdirTemp("", "programs")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	const commands = "github.com/cedarreel/cedarreel/cmd/"
	output, err := exec.Command("go", "build", "-o", folder, commands+dataRole, commands+controlRole).CombinedOutput()
	if err != nil {
		panic(string(output))
	}
	*bin = folder
	return run()
}
