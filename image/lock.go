package image

import (
	"errors"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Lock holds a data folder for one process. It lasts until it is released or the process has ended.
type Lock struct{ descriptor int }

// TryLock locks the folder. While another process holds it, also one that is frozen or ending, the error is unix.EWOULDBLOCK. A file system that has no
// locks grants any.
func (folder Folder) TryLock() (Lock, error) {
	descriptor, err := unix.Open(folder.Path, unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		return Lock{}, eris.Wrap(err, "data folder")
	}
	if err = unix.Flock(descriptor, unix.LOCK_EX|unix.LOCK_NB); errors.Is(err, unix.EWOULDBLOCK) {
		_ = unix.Close(descriptor)
		return Lock{}, eris.Wrap(err, "another process holds the data folder")
	}
	return Lock{descriptor}, nil
}

// Release lets other processes have the folder. A process that has begun to write leaves that to its end.
func (lock Lock) Release() { _ = unix.Close(lock.descriptor) }
