package reader

import "time"

// Role says for whom an entry node reads the log.
type Role int

// Roles.
const (
	// Alone is the role of a node that reads for itself only.
	Alone Role = iota
	// Source is the role of a node that forwards what it reads.
	Source
	// Subscriber is the role of a node to which another one forwards what it reads.
	Subscriber
)

var roleNames = [...]string{"alone", "source", "subscriber"}

// String returns the role's name as it appears in logs.
func (ro Role) String() string { return roleNames[ro] }

// Schedule holds the longest time between two confirmations that a node knows all records of a
// topic, by the node's role.
type Schedule struct {
	// Limit is the time after which a node that reads only for itself reads the topic.
	Limit time.Duration
	// SourceLimit is the time after which a node that reads for others reads the topic.
	SourceLimit time.Duration
	// SubscriberLimit is the time after which a node to which nothing was forwarded reads the topic.
	// It is longer than SourceLimit, so that it is not reached between two forwarded reads.
	SubscriberLimit time.Duration
}

// NextRead returns when a node reads a topic that was last confirmed at the given time.
func (sc Schedule) NextRead(role Role, confirmedAt time.Time) time.Time {
	switch role {
	case Source:
		return confirmedAt.Add(sc.SourceLimit)
	case Subscriber:
		return confirmedAt.Add(sc.SubscriberLimit)
	case Alone:
	}
	return confirmedAt.Add(sc.Limit)
}
