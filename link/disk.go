package link

import (
	"time"

	"github.com/cedarreel/cedarreel/image"
	"github.com/rotisserie/eris"
)

type faultyDisk struct {
	image.Files
	faults *Faults
}

// FaultyDisk is the seam by which the test rig makes a disk full, slow or stalled.
func FaultyDisk(files image.Files, faults *Faults) image.Files {
	if faults.path == "" {
		return files
	}
	return faultyDisk{files, faults}
}

func (disk faultyDisk) WriteTemp(name string, content []byte) error {
	for disk.faults.Disk() == "stalled" {
		time.Sleep(faultPeriod)
	}
	if disk.faults.Disk() == "slow" {
		time.Sleep(4 * faultPeriod)
	}
	if disk.faults.Disk() == "full" {
		return eris.New("no space left")
	}
	return disk.Files.WriteTemp(name, content)
}
