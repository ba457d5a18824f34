package env

import "time"

// Withdraw returns WithdrawMs as a duration. The time that a withdrawal takes is the sum of the periods below: reading the platform's
// listing, renewing or losing a lease, and connecting to a server.
func (bounds Bounds) Withdraw() time.Duration { return milliseconds(bounds.WithdrawMs) }

// Evacuate returns EvacuateMs as a duration.
func (bounds Bounds) Evacuate() time.Duration { return milliseconds(bounds.EvacuateMs) }

// Deliver returns DeliverMs as a duration.
func (bounds Bounds) Deliver() time.Duration { return milliseconds(bounds.DeliverMs) }

// Return returns ReturnMs as a duration.
func (bounds Bounds) Return() time.Duration { return milliseconds(bounds.ReturnMs) }

// Deadline returns DeadlineMs as a duration.
func (bounds Bounds) Deadline() time.Duration { return milliseconds(bounds.DeadlineMs) }

// Lease is how long a data node may use a shard's list of servers without hearing from the shard's owner again.
func (bounds Bounds) Lease() time.Duration { return bounds.Withdraw() * 3 / 8 }

// LeaseRenewal is the period at which a data node renews its leases. It also bounds the time from picking a server to being connected to it.
func (bounds Bounds) LeaseRenewal() time.Duration { return bounds.Lease() / 6 }

// PlatformPoll is the period at which shard owners read the platform's listing and the servers' reports, and the timeout of one read.
func (bounds Bounds) PlatformPoll() time.Duration { return bounds.Withdraw() / 8 }

// PlatformGrace is how old a listing may be before it no longer counts as fresh.
func (bounds Bounds) PlatformGrace() time.Duration { return bounds.Withdraw() / 2 }

// GossipInterval is the period at which a node exchanges membership with another one and asks for news of the configuration.
func (bounds Bounds) GossipInterval() time.Duration { return bounds.Deliver() / 12 }

// SuspicionTimeout is how long a node may be silent before others consider it dead.
func (bounds Bounds) SuspicionTimeout() time.Duration { return bounds.Deliver() * 2 / 3 }

// MemberExpiry is how long a silent node stays in the membership table.
func (bounds Bounds) MemberExpiry() time.Duration { return bounds.Return() * 20 }

// Tick is the period at which a node's state machines are called without an event.
func (bounds Bounds) Tick() time.Duration { return bounds.GossipInterval() / 5 }

// Freeze is the time without a tick after which a node treats its own process as having been suspended.
func (bounds Bounds) Freeze() time.Duration { return bounds.Lease() / 3 }

// Round is the time for one round of requests and answers between nodes: the base of message timeouts and of the delay before a retry.
func (bounds Bounds) Round() time.Duration { return bounds.Deliver() / 6 }

// CommitTimeout is how long the control plane waits for a write to be committed.
func (bounds Bounds) CommitTimeout() time.Duration { return bounds.Deliver() * 2 / 3 }

// RecoveryDelay is how long listings must have been readable again before a shard owner that was unable to read them resumes its duties.
func (bounds Bounds) RecoveryDelay() time.Duration { return bounds.Return() / 4 }

// RecordRetention is how long the record of a call is kept to recognise retries.
func (bounds Bounds) RecordRetention() time.Duration { return bounds.Deadline() * 2 }

// ReplicationTimeout is how long a data node waits for others to store or find the record of a call.
func (bounds Bounds) ReplicationTimeout() time.Duration { return bounds.Lease() / 3 }
