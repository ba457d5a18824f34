package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/ledger"
)

// zonesApart cuts the machines of the first region's two zones from each other; all others still hear both.
func zonesApart(rig *Rig, plan Plan) error {
	zone, region := rig.Nodes[0].Machine.Zone, rig.Nodes[0].Machine.Region
	time.Sleep(plan.part(0.2))
	rig.Cut(rig.where(func(node *Node) bool { return node.Machine.Zone == zone }),
		rig.where(func(node *Node) bool { return node.Machine.Region == region && node.Machine.Zone != zone }))
	time.Sleep(plan.part(0.5))
	rig.Heal()
	return rig.Await("serving again", rig.bounds.Return(), rig.serves)
}

const (
	stalledReaders = 40
	stalledPieces  = 50
	stalledWidth   = 16 << 10
	stalledFor     = 4 * time.Second
)

// slowReaders open streams of long replies over sockets that take little and read nothing. Each must come to an
// end, and none may look finished that is not; the callers beside them are judged as ever.
func slowReaders(rig *Rig, plan Plan) error {
	time.Sleep(plan.part(0.1))
	group, errs := sync.WaitGroup{}, make([]error, stalledReaders)
	for place := range stalledReaders {
		group.Add(1)
		go func() {
			defer group.Done()
			errs[place] = rig.stall(rig.Nodes[place%len(rig.Nodes)], fmt.Sprintf("stalled-%d", place))
		}()
	}
	group.Wait()
	plan.Say(fmt.Sprintf("%d stalled readers held %d bytes of the %d that were theirs", stalledReaders, rig.stalls.Load(), stalledReaders*stalledPieces*stalledWidth))
	return errors.Join(errs...)
}

func (rig *Rig) stall(node *Node, key string) error {
	made, err := net.Dial("tcp", node.Settings.Data)
	if err != nil {
		return err
	}
	defer made.Close()
	_ = made.(*net.TCPConn).SetReadBuffer(4 << 10)
	route := ""
	for _, kind := range rig.Site.Callers {
		if kind.Class == "short" {
			route = kind.Route
		}
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"call %s pieces %d wide %d"}]}`, route, key, stalledPieces, stalledWidth)
	began, index := time.Now(), rig.Ledger.AttemptSent(key, "stalled", node.Settings.Region, true, node.Settings.Name, false, rig.now(), stalledFor)
	if _, err = fmt.Fprintf(made, "POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nConnection: close\r\nContent-Type: application/json\r\nCedar-Route: %s\r\nCedar-Caller: desk\r\n"+
		"Idempotency-Key: %s\r\nCedar-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", route, key, stalledFor.Milliseconds(), len(body), body); err != nil {
		return err
	}
	time.Sleep(stalledFor + rig.bounds.Round()*2)
	rig.Ledger.AttemptAnswered(key, index, rig.now(), ledger.Reply{Outcome: "left"})
	_ = made.SetReadDeadline(time.Now().Add(stalledFor * 8))
	left, err := io.ReadAll(bufio.NewReader(made))
	if timeout, fine := err.(net.Error); fine && timeout.Timeout() {
		return fmt.Errorf("%s at %s still holds its caller %v after the call came", key, node.Settings.Name, time.Since(began))
	}
	rig.stalls.Add(int64(len(left)))
	if text := string(left); strings.Contains(text, "[DONE]") && strings.Count(text, "\ndata: ") < stalledPieces {
		return fmt.Errorf("%s looks finished after %d events", key, strings.Count(text, "\ndata: "))
	}
	return nil
}

// mixed plays two lanes of failures at once for the whole span: one of nodes, links and disks, one of servers, operators and callers.
func mixed(rig *Rig, plan Plan) error {
	lanes := [][]string{
		{"kill", "kill many", "kill zone", "kill cores", "kill region", "freeze", "cut", "cut one way", "cut region", "zones apart", "lossy", "disk full", "disk stalled",
			"disk slow", "disk lies", "disk torn", "wipe core", "graceful stop"},
		{"server crash", "bad replies", "reclaim", "drain", "crowd", "slow readers", "rolling", "platform broken"},
	}
	ends, group, errs := rig.now()+plan.Span*9/10, sync.WaitGroup{}, make([]error, len(lanes))
	part := plan
	part.Span = mixedPart
	for place, lane := range lanes {
		group.Add(1)
		go func() {
			defer group.Done()
			for rig.now() < ends-mixedPart && errs[place] == nil {
				name := lane[rig.draw(len(lane))]
				plan.Say(fmt.Sprintf("%v %s", rig.now().Round(time.Second), name))
				if err := stories[name](rig, part); err != nil {
					errs[place] = fmt.Errorf("%s: %w", name, err)
				}
			}
		}()
	}
	group.Wait()
	return errors.Join(append(errs, rig.Await("serving again", 2*rig.bounds.Return(), rig.serves), rig.readBack())...)
}

const mixedPart = 12 * time.Second
