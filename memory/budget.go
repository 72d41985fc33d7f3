// Package memory bounds the bytes that a VM holds for requests in flight: callers'
// bodies and upstreams' answers. [Budget] implements [lentilmux.MemoryBudget];
// [ReadAll] reads into memory that an account holds. It is named after what it
// divides, since it speaks to no peer.
//
// Nobody may hold more than is left for all others: a holder that asks for ever more
// gets half of the capacity, two of them a third each, and so on, so that there is
// always room for one who holds little. A quarter of the capacity is kept for accounts
// of at most 64 KiB, which ordinary requests and answers do not exceed, and callers'
// bodies get at most half, so that a request that was taken can be answered.
// Connections may take as much as the capacity beside it; what they take beyond that
// reduces it, to half at the most.
//
// # Usage
//
//	budget := memory.NewBudget(46 << 20)
//	account := budget.Open(lentilmux.MemoryHolder{Class: lentilmux.MemoryAnswers, Name: upstream})
//	defer account.Hold(0)
//	body, err := memory.ReadAll(response.Body, response.ContentLength, maxBytes, account)
package memory

import (
	"sync"

	"lentilmux.example/lentilmux"
)

const (
	// smallAccountBytes is the size up to which an account may use the whole
	// capacity, in bytes.
	smallAccountBytes = 64 << 10
	// reservedFraction is the divisor of the part of the capacity that is kept for
	// small accounts.
	reservedFraction = 4
	// bodiesFraction is the divisor of the part of the capacity that callers' bodies
	// may hold.
	bodiesFraction = 2
	// minLeftFraction is the divisor of the part of the capacity that connections leave
	// in any case.
	minLeftFraction = 2
)

// Budget implements [lentilmux.MemoryBudget].
type Budget struct {
	refused func(holder lentilmux.MemoryHolder)

	mu       sync.Mutex
	capacity int64
	occupied int64                 // beside the accounts
	usage    lentilmux.MemoryUsage // without Capacity and Largest
	holders  map[lentilmux.MemoryHolder]*share
}

// share is what all accounts of one holder hold.
type share struct {
	held     int64
	accounts int // that hold bytes
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(capacity int64) *Budget {
	return &Budget{
		refused: func(lentilmux.MemoryHolder) {}, capacity: capacity, holders: make(map[lentilmux.MemoryHolder]*share),
	}
}

// OnRefusal implements [lentilmux.MemoryBudget].
func (b *Budget) OnRefusal(observe func(holder lentilmux.MemoryHolder)) { b.refused = observe }

// Resize implements [lentilmux.MemoryBudget].
func (b *Budget) Resize(capacity int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = capacity
}

// Occupy implements [lentilmux.MemoryBudget].
func (b *Budget) Occupy(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.occupied += bytes
}

// left returns the capacity that connections leave for accounts.
func (b *Budget) left() int64 {
	return max(b.capacity-max(b.occupied-b.capacity, 0), b.capacity/minLeftFraction)
}

// Usage implements [lentilmux.MemoryBudget]. It takes time in proportion to the
// number of holders.
func (b *Budget) Usage() (usage lentilmux.MemoryUsage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	usage = b.usage
	usage.Capacity = b.left()
	for holder, share := range b.holders {
		largest := &usage.Largest[holder.Class]
		if share.held > largest.Held || share.held == largest.Held && holder.Name < largest.Holder.Name {
			*largest = lentilmux.MemoryShare{Holder: holder, Held: share.held}
		}
	}
	return usage
}

// Open implements [lentilmux.MemoryBudget].
func (b *Budget) Open(holder lentilmux.MemoryHolder) (account lentilmux.MemoryAccount) {
	return &budgetAccount{budget: b, holder: holder}
}

// budgetAccount implements [lentilmux.MemoryAccount].
type budgetAccount struct {
	budget *Budget
	holder lentilmux.MemoryHolder
	held   int64
}

// Hold implements [lentilmux.MemoryAccount].
func (a *budgetAccount) Hold(bytes int64) (err error) {
	if bytes == a.held {
		return nil
	}
	if !a.budget.change(a, bytes) {
		a.budget.refused(a.holder)
		return lentilmux.ErrNoMemory
	}
	return nil
}

// change makes an account hold a number of bytes, or returns false.
func (b *Budget) change(a *budgetAccount, bytes int64) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	holder := b.holders[a.holder]
	if bytes > a.held && !b.hasRoom(a, holder, bytes) {
		b.usage.Refused[a.holder.Class]++
		return false
	}
	if holder == nil {
		holder = &share{}
		b.holders[a.holder] = holder
	}
	if a.held == 0 {
		holder.accounts++
	}
	b.usage.Held[a.holder.Class] += bytes - a.held
	holder.held += bytes - a.held
	if a.held = bytes; bytes > 0 {
		return true
	}
	if holder.accounts--; holder.accounts == 0 {
		delete(b.holders, a.holder)
	}
	return true
}

// hasRoom reports whether an account may grow to a number of bytes: its holder may
// then hold as much as is left now. holder is nil if it holds nothing.
func (b *Budget) hasRoom(a *budgetAccount, holder *share, bytes int64) bool {
	capacity := b.left()
	left := capacity
	for _, held := range b.usage.Held {
		left -= held
	}
	if a.holder.Class == lentilmux.MemoryBodies {
		capacity /= bodiesFraction
		left = min(left, capacity-b.usage.Held[lentilmux.MemoryBodies])
	}
	if bytes > smallAccountBytes {
		left -= capacity / reservedFraction
	}
	if holder != nil {
		bytes += holder.held
	}
	return bytes-a.held <= left
}
