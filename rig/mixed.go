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

// zonesApart cuts the links between the two zones of the first region; all other links stay up.
func zonesApart(rig *Rig, plan Plan) error {
	zone, region := rig.Nodes[0].Machine.Zone, rig.Nodes[0].Machine.Region
	time.Sleep(plan.fraction(0.2))
	rig.Cut(rig.nodesWhere(func(node *Node) bool { return node.Machine.Zone == zone }),
		rig.nodesWhere(func(node *Node) bool { return node.Machine.Region == region && node.Machine.Zone != zone }))
	time.Sleep(plan.fraction(0.5))
	rig.Heal()
	return rig.Await("serving again", rig.bounds.Return(), rig.isServing)
}

const (
	// stalledReaderCount is how many readers stall at once.
	stalledReaderCount = 40
	// stalledReplyPieces is the number of pieces in the reply to each of them.
	stalledReplyPieces = 50
	// stalledPieceBytes is the padding of each piece.
	stalledPieceBytes = 16 << 10
	// stalledDeadline is the deadline of each call.
	stalledDeadline = 4 * time.Second
)

// slowReaders opens streams of long replies on sockets with small receive buffers and reads nothing. Each stream must end, and none that was
// truncated may look complete; the ordinary callers are checked as usual.
func slowReaders(rig *Rig, plan Plan) error {
	time.Sleep(plan.fraction(0.1))
	group, errs := sync.WaitGroup{}, make([]error, stalledReaderCount)
	for index := range stalledReaderCount {
		group.Add(1)
		go func() {
			defer group.Done()
			errs[index] = rig.runStalledReader(rig.Nodes[index%len(rig.Nodes)], fmt.Sprintf("stalled-%d", index))
		}()
	}
	group.Wait()
	plan.Log(fmt.Sprintf("%d stalled readers held %d bytes of the %d that were theirs", stalledReaderCount, rig.stalledBytes.Load(), stalledReaderCount*stalledReplyPieces*stalledPieceBytes))
	return errors.Join(errs...)
}

// runStalledReader sends one call, reads nothing until well past its deadline, and then checks how the connection ended.
func (rig *Rig) runStalledReader(node *Node, key string) error {
	connection, err := net.Dial("tcp", node.Settings.Data)
	if err != nil {
		return err
	}
	defer connection.Close()
	_ = connection.(*net.TCPConn).SetReadBuffer(4 << 10)
	route := ""
	for _, kind := range rig.Site.Callers {
		if kind.Class == "short" {
			route = kind.Route
		}
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"call %s pieces %d wide %d"}]}`, route, key, stalledReplyPieces, stalledPieceBytes)
	began, index := time.Now(), rig.Ledger.AttemptSent(key, "stalled", node.Settings.Region, true, node.Settings.Name, false, rig.now(), stalledDeadline)
	if _, err = fmt.Fprintf(connection, "POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nConnection: close\r\nContent-Type: application/json\r\nCedar-Route: %s\r\nCedar-Caller: desk\r\n"+
		"Idempotency-Key: %s\r\nCedar-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", route, key, stalledDeadline.Milliseconds(), len(body), body); err != nil {
		return err
	}
	time.Sleep(stalledDeadline + rig.bounds.Round()*2)
	rig.Ledger.AttemptAnswered(key, index, rig.now(), ledger.Reply{Outcome: "left"})
	_ = connection.SetReadDeadline(time.Now().Add(stalledDeadline * 8))
	remaining, err := io.ReadAll(bufio.NewReader(connection))
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		return fmt.Errorf("%s at %s has not closed its connection %v after the call was sent", key, node.Settings.Name, time.Since(began))
	}
	rig.stalledBytes.Add(int64(len(remaining)))
	if text := string(remaining); strings.Contains(text, "[DONE]") && strings.Count(text, "\ndata: ") < stalledReplyPieces {
		return fmt.Errorf("%s looks finished after %d events", key, strings.Count(text, "\ndata: "))
	}
	return nil
}

// mixedStories plays two series of random stories concurrently for the whole run: one on nodes, links and disks, one on servers, operators and
// callers.
func mixedStories(rig *Rig, plan Plan) error {
	lanes := [][]string{
		{"kill", "kill many", "kill zone", "kill cores", "kill region", "freeze", "cut", "cut one way", "cut region", "zones apart", "lossy", "disk full", "disk stalled",
			"disk slow", "disk lies", "disk torn", "wipe core", "graceful stop"},
		{"server crash", "bad replies", "reclaim", "drain", "crowd", "slow readers", "rolling", "platform broken"},
	}
	endsAt, group, errs := rig.now()+plan.Span*9/10, sync.WaitGroup{}, make([]error, len(lanes))
	storyPlan := plan
	storyPlan.Span = mixedStorySpan
	for index, lane := range lanes {
		group.Add(1)
		go func() {
			defer group.Done()
			for rig.now() < endsAt-mixedStorySpan && errs[index] == nil {
				name := lane[rig.randomBelow(len(lane))]
				plan.Log(fmt.Sprintf("%v %s", rig.now().Round(time.Second), name))
				if err := stories[name](rig, storyPlan); err != nil {
					errs[index] = fmt.Errorf("%s: %w", name, err)
				}
			}
		}()
	}
	group.Wait()
	return errors.Join(append(errs, rig.Await("serving again", 2*rig.bounds.Return(), rig.isServing), rig.readBackAccepted())...)
}

// mixedStorySpan is the length of each story in a mixed run.
const mixedStorySpan = 12 * time.Second
