package lentilmux

import "github.com/juju/errors"

// ErrNoMemory reports that the bytes of a request or an answer are refused, since
// the requests in flight hold all the bytes that they may.
const ErrNoMemory = errors.ConstError("too many bytes are held for requests in flight")

// MemoryClass says what bytes are held for.
type MemoryClass int

// The classes.
const (
	// MemoryAnswers are the bytes of upstreams' answers.
	MemoryAnswers MemoryClass = iota
	// MemoryBodies are the bodies of callers' requests.
	MemoryBodies
	// MemoryClassCount is the number of classes.
	MemoryClassCount
)

// String returns the class in snake case, as logs and metrics show it.
func (m MemoryClass) String() string { return [...]string{"answers", "bodies"}[m] }

// MemoryHolder is on whose behalf bytes are held: the upstream or peer that sends
// answers, or the key whose callers send bodies.
type MemoryHolder struct {
	Class MemoryClass
	Name  string
}

// MemoryUsage is what a [MemoryBudget] holds.
type MemoryUsage struct {
	Capacity int64 // that is left for accounts
	Held     [MemoryClassCount]int64
	Refused  [MemoryClassCount]uint64 // since the start
	Largest  [MemoryClassCount]MemoryShare
}

// MemoryShare is what one holder holds, in bytes.
type MemoryShare struct {
	Holder MemoryHolder
	Held   int64
}

// MemoryBudget bounds the bytes that all requests in flight hold together. It is
// safe for concurrent use, and nothing waits for bytes to become free: requests that
// wait for each other's bytes would hold theirs meanwhile.
type MemoryBudget interface {
	// Open returns an account that holds no bytes.
	Open(holder MemoryHolder) (account MemoryAccount)
	// Usage returns what is held now.
	Usage() (usage MemoryUsage)
	// Resize replaces the capacity, in bytes. What is held stays.
	Resize(capacity int64)
	// Occupy adds bytes that are taken beside the accounts, such as by connections, or
	// removes them if bytes is negative.
	Occupy(bytes int64)
	// OnRefusal sets the function that is called after each refusal. It must be
	// called before the first account is opened.
	OnRefusal(observe func(holder MemoryHolder))
}

// MemoryAccount is what one request or one answer holds. It is not safe for
// concurrent use.
type MemoryAccount interface {
	// Hold changes the number of bytes that the account holds. It returns
	// [ErrNoMemory] and changes nothing if there is no room for more; to hold fewer
	// always succeeds. An account that is no longer used has to hold 0.
	Hold(bytes int64) (err error)
}
