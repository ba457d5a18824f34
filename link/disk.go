package link

import (
	"time"

	"github.com/cedarreel/cedarreel/image"
	"github.com/rotisserie/eris"
)

// faultyDisk injects the faults into writes.
type faultyDisk struct {
	image.Files
	faults *Faults
}

// FaultyDisk wraps files so that the test rig can make the disk full, slow or stalled; without a fault file it returns them as they are.
func FaultyDisk(files image.Files, faults *Faults) image.Files {
	if faults.path == "" {
		return files
	}
	return faultyDisk{files, faults}
}

// WriteTemp blocks, delays or fails as the disk fault says, and otherwise writes the file.
func (disk faultyDisk) WriteTemp(name string, content []byte) error {
	for disk.faults.Disk() == "stalled" {
		time.Sleep(faultPollInterval)
	}
	if disk.faults.Disk() == "slow" {
		time.Sleep(4 * faultPollInterval)
	}
	if disk.faults.Disk() == "full" {
		return eris.New("no space left")
	}
	return disk.Files.WriteTemp(name, content)
}
