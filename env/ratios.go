package env

import "time"

func (bounds Bounds) Withdraw() time.Duration { return milliseconds(bounds.WithdrawMs) }
func (bounds Bounds) Evacuate() time.Duration { return milliseconds(bounds.EvacuateMs) }
func (bounds Bounds) Deliver() time.Duration  { return milliseconds(bounds.DeliverMs) }
func (bounds Bounds) Return() time.Duration   { return milliseconds(bounds.ReturnMs) }
func (bounds Bounds) Deadline() time.Duration { return milliseconds(bounds.DeadlineMs) }

func (bounds Bounds) Lease() time.Duration         { return bounds.Withdraw() * 3 / 8 }
func (bounds Bounds) Ask() time.Duration           { return bounds.Lease() / 6 }
func (bounds Bounds) PlatformPoll() time.Duration  { return bounds.Withdraw() / 8 }
func (bounds Bounds) PlatformGrace() time.Duration { return bounds.Withdraw() / 2 }
func (bounds Bounds) Gossip() time.Duration        { return bounds.Deliver() / 12 }
func (bounds Bounds) Suspicion() time.Duration     { return bounds.Deliver() * 2 / 3 }
func (bounds Bounds) Forget() time.Duration        { return bounds.Return() * 20 }
func (bounds Bounds) Tick() time.Duration          { return bounds.Gossip() / 5 }
func (bounds Bounds) Freeze() time.Duration        { return bounds.Lease() / 3 }
func (bounds Bounds) Round() time.Duration         { return bounds.Deliver() / 6 }
func (bounds Bounds) Commit() time.Duration        { return bounds.Deliver() * 2 / 3 }
func (bounds Bounds) Refound() time.Duration       { return bounds.Return() / 4 }
func (bounds Bounds) Record() time.Duration        { return bounds.Deadline() * 2 }
func (bounds Bounds) Keep() time.Duration          { return bounds.Lease() / 3 }
