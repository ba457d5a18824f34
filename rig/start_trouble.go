package rig

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// startTrouble is what disturbs one start of a process.
type startTrouble struct {
	// settingsLate is how long after the start the settings file is still empty.
	settingsLate time.Duration
	// readerLeaves is how long after the start the reader of the process's output goes away, zero for never.
	readerLeaves time.Duration
}

// troubleNextStart sets what disturbs the next start of a role.
func (machine *gatewayMachine) troubleNextStart(role string, trouble startTrouble) {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	if machine.troubledStarts == nil {
		machine.troubledStarts = map[string]startTrouble{}
	}
	machine.troubledStarts[role] = trouble
}

func (machine *gatewayMachine) takeStartTrouble(role string) startTrouble {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	trouble := machine.troubledStarts[role]
	delete(machine.troubledStarts, role)
	return trouble
}

// loseDisk empties the data folder before the next start of the control process.
func (machine *gatewayMachine) loseDisk() {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	machine.losesDisk = true
}

func (machine *gatewayMachine) prepareDisk(role string) error {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	if !machine.losesDisk || role != controlRole {
		return nil
	}
	machine.losesDisk = false
	folder := filepath.Join(machine.folder, "data")
	if err := os.RemoveAll(folder); err != nil {
		return err
	}
	return os.MkdirAll(folder, 0o700)
}

// writeSettings writes the settings file of a role and returns its path. If it is to be late, the file is empty until then.
func (machine *gatewayMachine) writeSettings(role string, first bool, late time.Duration) (string, error) {
	path, text := filepath.Join(machine.folder, role+".toml"), []byte(machine.settings(role, first).TOML())
	if late == 0 {
		return path, os.WriteFile(path, text, 0o600)
	}
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		return path, err
	}
	machine.fleet.inBackground(func() {
		time.Sleep(late)
		machine.fleet.failIf(os.WriteFile(path, text, 0o600))
	})
	return path, nil
}

// launch starts a process of the machine. If the reader of its output leaves, the output goes through a pipe.
func (machine *gatewayMachine) launch(role string, command *exec.Cmd, readerLeaves time.Duration) (*program, error) {
	path := filepath.Join(machine.folder, role+".log")
	if readerLeaves > 0 {
		return launchWithReader(role, command, path, readerLeaves)
	}
	return launch(role, command, path)
}

// occupy holds an address of the machine for a time, as another program does that refuses all connections. It does nothing while a process of the
// machine has the address.
func (machine *gatewayMachine) occupy(port int, duration time.Duration) error {
	listener, err := net.Listen("tcp", machine.at(port))
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil
	}
	if err != nil {
		return err
	}
	machine.fleet.count("addresses in use")
	go refuseAll(listener)
	machine.fleet.inBackground(func() {
		time.Sleep(duration)
		_ = listener.Close()
	})
	return nil
}

// refuseAll resets all connections until the listener is closed.
func refuseAll(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// ports returns the ports that the process of a role listens on.
func ports(role string) []int {
	if role == controlRole {
		return []int{controlPort}
	}
	return []int{trafficPort, readyPort, lookupPort, firstInnerPort}
}
