package chain

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Check asks the core whether a view still is the newest, so that a woken old tail cannot answer.
type Check struct {
	Nonce int64 `json:"nonce"`
	// Start is the asker's start, so that an answer to its former start is not taken for one to this.
	Start string            `json:"start"`
	View  int64             `json:"view"`
	Node  contract.CoreNode `json:"node"`
	Holds bool              `json:"holds"`
	// By answers.
	By contract.CoreNode `json:"by"`
}

type check struct {
	view int64
	// fits tells whether this member still has the place in the chain that asked.
	fits  func() bool
	until time.Duration
	votes map[string]bool
}

// Vouched ends a check: the tail's answer may or may not be given.
type Vouched struct {
	Token int64
	Fine  bool
}

// Vouch asks the core whether the tail's answer to a read may be given.
func (owner *Owner) Vouch(now time.Duration, token int64) []contract.Command {
	if !owner.settled || owner.outrun(owner.committed) {
		return []contract.Command{Vouched{Token: token}}
	}
	return owner.confirm(now, token, owner.IsTail)
}

// VouchHead asks the core whether what the head says of its state may be given, as when it refuses an order.
func (owner *Owner) VouchHead(now time.Duration, token int64) []contract.Command {
	if owner.outrun(owner.assigned) {
		return []contract.Command{Vouched{Token: token}}
	}
	return owner.confirm(now, token, owner.IsHead)
}

func (owner *Owner) confirm(now time.Duration, token int64, fits func() bool) []contract.Command {
	if !fits() || owner.sealed {
		return []contract.Command{Vouched{Token: token}}
	}
	owner.out = nil
	owner.checks[token] = &check{view: owner.view.Number, fits: fits, until: now + owner.bounds.Round(), votes: map[string]bool{owner.self.Identity(): true}}
	owner.sendOthers(owner.view.Core, MessageCheck, Check{Nonce: token, Start: owner.start, View: owner.view.Number, Node: owner.self})
	out := owner.out
	owner.out = nil
	return out
}

func (owner *Owner) check(ask Check) {
	holds := owner.Member() && !owner.sealed && owner.view.Number == ask.View
	owner.send(ask.Node, MessageChecked, Check{Nonce: ask.Nonce, Start: ask.Start, View: ask.View, Holds: holds, By: owner.self})
}

func (owner *Owner) checked(answer Check) {
	pending, there := owner.checks[answer.Nonce]
	if !there || !answer.Holds || pending.view != answer.View || answer.Start != owner.start {
		return
	}
	pending.votes[answer.By.Identity()] = true
	if len(pending.votes) >= owner.view.Majority() {
		delete(owner.checks, answer.Nonce)
		owner.emit(Vouched{Token: answer.Nonce, Fine: pending.view == owner.view.Number && !owner.sealed && pending.fits()})
	}
}

func (owner *Owner) expireChecks(now time.Duration) {
	late := []int64{}
	for token, pending := range owner.checks {
		if now > pending.until {
			late = append(late, token)
		}
	}
	slices.Sort(late)
	for _, token := range late {
		delete(owner.checks, token)
		owner.emit(Vouched{Token: token})
	}
}
