package overload

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/rig"
)

// peakUsage is the highest use of a process. totalKB counts bytes that its sockets received and that it has not read.
type peakUsage struct {
	residentKB, totalKB int64
	descriptors         int
}

// usageSampler samples the memory and the descriptors of a machine's processes.
type usageSampler struct {
	machine *rig.SingleGateway
	lock    sync.Mutex
	peaks   map[string]peakUsage
	once    sync.Once
	ending  chan struct{}
	ended   chan struct{}
}

// portsOf are the ports that a program serves.
var portsOf = map[string][]rig.Port{rig.DataProgram: {rig.CallerPort, rig.ReadinessPort, rig.DirectoryPort, rig.PeerPort}, rig.ControlProgram: {rig.ControlPort}}

func startSampler(machine *rig.SingleGateway) *usageSampler {
	sampler := &usageSampler{machine: machine, peaks: map[string]peakUsage{}, ending: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(sampler.ended)
		ticker := time.NewTicker(samplePeriod)
		defer ticker.Stop()
		for {
			sampler.sample()
			select {
			case <-sampler.ending:
				return
			case <-ticker.C:
			}
		}
	}()
	return sampler
}

// stop takes a last sample and ends the sampling.
func (sampler *usageSampler) stop() {
	sampler.once.Do(func() { close(sampler.ending) })
	<-sampler.ended
	sampler.sample()
}

func (sampler *usageSampler) peakOf(program string) peakUsage {
	sampler.lock.Lock()
	defer sampler.lock.Unlock()
	return sampler.peaks[program]
}

func (sampler *usageSampler) sample() {
	for program, ports := range portsOf {
		resident, highest := rig.MemoryKB(sampler.machine.PID(program)), rig.PeakMemoryKB(sampler.machine.PID(program))
		descriptors, _ := os.ReadDir(filepath.Join("/proc", strconv.Itoa(sampler.machine.PID(program)), "fd"))
		unread := 0
		for _, port := range ports {
			unread += unreadBytes(sampler.machine.Address(port))
		}
		sampler.lock.Lock()
		peak := sampler.peaks[program]
		sampler.peaks[program] = peakUsage{residentKB: max(peak.residentKB, highest), totalKB: max(peak.totalKB, resident+int64(unread>>10)), descriptors: max(peak.descriptors, len(descriptors))}
		sampler.lock.Unlock()
	}
}

// listening is the state of a listening socket in /proc/net/tcp, whose queue counts connections and not bytes.
const listening = "0A"

// unreadBytes returns the bytes that connections to an address have received and that were not read.
func unreadBytes(address string) int {
	host, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	octets := net.ParseIP(host).To4()
	local := strings.ToUpper(hex.EncodeToString([]byte{octets[3], octets[2], octets[1], octets[0]})) + fmt.Sprintf(":%04X", number)
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	sum := 0
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[1] != local || fields[3] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		count, _ := strconv.ParseInt(received, 16, 64)
		sum += int(count)
	}
	return sum
}
