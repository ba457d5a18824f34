// Package oserr tells which errors of the operating system pass by themselves.
package oserr

import (
	"errors"
	"slices"
	"syscall"
)

// passing are errors of a machine that is short of something for now, or whose address or disk is not there yet.
var passing = []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EAGAIN, syscall.EINTR, syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.EBUSY, syscall.ETIMEDOUT, syscall.ESTALE}

// IsPassing reports whether an error may pass without a change of settings or files.
func IsPassing(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(passing, errno)
}
