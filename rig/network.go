package rig

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

const (
	// firstNetwork and networkCount are the second bytes of the loopback addresses that fleets use.
	firstNetwork = 16
	networkCount = 200
	// claimPort is the port at an address outside of all machines that a fleet holds for as long as it uses a network.
	claimPort = 7719
)

// loopbackNetwork is a network of loopback addresses that belongs to one fleet. Fleets on the same addresses would take each other's processes
// for their own.
type loopbackNetwork struct {
	// number is the second byte of the addresses.
	number int
	claim  net.Listener
}

// claimNetwork claims a network that no other fleet on this machine has, trying the first one first.
func claimNetwork(first int) (*loopbackNetwork, error) {
	for step := range networkCount {
		number := firstNetwork + (first+step)%networkCount
		claim, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", number, claimPort))
		if err == nil {
			return &loopbackNetwork{number: number, claim: claim}, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return nil, errors.New("all loopback networks are in use by other fleets")
}

// claimAnyNetwork claims a network, beginning where fleets of other processes hardly begin.
func claimAnyNetwork() (*loopbackNetwork, error) { return claimNetwork(os.Getpid() % networkCount) }

// release lets other fleets have the network.
func (network *loopbackNetwork) release() { _ = network.claim.Close() }
