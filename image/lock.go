package image

import (
	"errors"
	"os"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Lock holds a data folder for one process. It lasts until it is released or the process has ended.
type Lock struct{ folder *os.File }

// TryLock locks the folder. While another process holds it, also one that is frozen or ending, the error is unix.EWOULDBLOCK. A file system that has no
// locks grants any.
func (folder Folder) TryLock() (*Lock, error) {
	opened, err := os.Open(folder.Path)
	if err != nil {
		return nil, eris.Wrap(err, "data folder")
	}
	if err = unix.Flock(int(opened.Fd()), unix.LOCK_EX|unix.LOCK_NB); errors.Is(err, unix.EWOULDBLOCK) {
		_ = opened.Close()
		return nil, eris.Wrap(err, "another process holds the data folder")
	}
	return &Lock{opened}, nil
}

// Release lets other processes have the folder.
func (lock *Lock) Release() { _ = lock.folder.Close() }
