package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

const (
	// besideLong is what a short call expects to lose at a server that reads long prompts.
	besideLong = 40 * time.Millisecond
	// fewestSplit is the least number of servers of a region that are split by the length of prompts.
	fewestSplit = 4
)

// seen is when calls with long and with short prompts last went to a service in a region from here.
type seen struct{ long, short time.Duration }

func (traffic *Traffic) note(now time.Duration, service, region string, long bool) {
	key := service + "\x00" + region
	last := traffic.sizes[key]
	if long {
		last.long = now
	} else {
		last.short = now
	}
	traffic.sizes[key] = last
}

// mixed tells whether short prompts go to a region's servers beside long ones.
func (traffic *Traffic) mixed(now time.Duration, service, region string) bool {
	last, there := traffic.sizes[service+"\x00"+region]
	return there && last.short > 0 && now-last.short < traffic.terms.RepeatWindow
}

// split marks the servers for long prompts: a part of each region's, in an order that all nodes share.
func (traffic *Traffic) split() {
	for _, servers := range traffic.services {
		regions := map[string][]string{}
		for _, server := range servers {
			regions[server.region] = append(regions[server.region], server.Name)
		}
		chosen := map[string]bool{}
		for _, names := range regions {
			if len(names) >= fewestSplit {
				for _, name := range contract.Ordered("long", names)[:(2*len(names)+1)/3] {
					chosen[name] = true
				}
			}
		}
		for _, server := range servers {
			server.long = chosen[server.Name]
		}
	}
}
