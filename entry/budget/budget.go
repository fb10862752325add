// Package budget bounds the memory that a process holds for all its clients' connections
// together. A connection reserves memory before it uses it. If there is too little left,
// those connections are closed that have kept the process waiting longest, for the rest of
// a request or for room to write a response: a client that behaves is never among them for
// long.
package budget

import (
	"bytes"
	"container/list"
	"context"
	"sync"
	"time"
)

// Budget is the memory for all connections. Its methods may be called concurrently.
type Budget struct {
	// Limit returns the number of bytes that all connections together may hold.
	Limit func() int64
	// OnEvict, if not nil, is called when a connection is closed to make room, with the number
	// of bytes that it held.
	OnEvict func(bytes int64)

	mu sync.Mutex
	// held is the sum over all accounts, evicting that over those whose connections are about to be
	// closed, and open the number of accounts.
	held     int64
	evicting int64
	open     int
	// freed is closed when memory is returned, nil if nothing waits for that.
	freed chan struct{}
	// waiting holds the *Account that wait for their clients, in the order in which they began to.
	waiting list.List
}

// Account is what one connection holds. The methods of a nil Account do nothing, and grant
// everything.
type Account struct {
	budget *Budget
	// evict closes the connection.
	evict func()
	// held is the number of bytes reserved. evicted is true once the connection was chosen to be
	// closed, and closed once Close was called.
	held    int64
	evicted bool
	closed  bool
	// waits is the number of calls of Wait without Resume, and element the place in
	// Budget.waiting, nil if there are none.
	waits   int
	element *list.Element
}

// Open returns the account of a new connection, which evict closes; the connection must then call
// Close of the account soon.
func (b *Budget) Open(evict func()) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open++
	return &Account{
		budget: b,
		evict:  evict,
	}
}

// Held returns the number of bytes that all connections hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Evict closes the connection that has waited for its client longest, and reports whether there
// was one.
func (b *Budget) Evict() bool {
	b.mu.Lock()
	element := b.waiting.Front()
	if element == nil {
		b.mu.Unlock()
		return false
	}
	victim := b.choose(element)
	b.mu.Unlock()
	b.end([]eviction{victim})
	return true
}

// eviction is a connection that is about to be closed.
type eviction struct {
	account *Account
	bytes   int64
}

// choose takes a waiting account out of the list to have its connection closed. The budget's lock
// must be held.
func (b *Budget) choose(element *list.Element) eviction {
	victim := element.Value.(*Account)
	victim.forgetWait()
	victim.evicted = true
	b.evicting += victim.held
	// The victim may itself wait for memory.
	b.wake()
	return eviction{
		account: victim,
		bytes:   victim.held,
	}
}

// end closes the connections of chosen accounts.
func (b *Budget) end(victims []eviction) {
	for _, victim := range victims {
		victim.account.evict()
		if b.OnEvict != nil {
			b.OnEvict(victim.bytes)
		}
	}
}

// evictionTime is how long Reserve waits for connections to return what they hold, once they are
// closed.
const evictionTime = 2 * time.Second

// Reserve reserves bytes, and reports whether it did. To make room, it closes connections that
// wait for their clients, and waits until they have returned what they hold.
func (a *Account) Reserve(bytes int64) bool {
	if a == nil {
		return true
	}
	granted, freed := a.reserve(bytes)
	if granted || freed == nil {
		return granted
	}
	timer := time.NewTimer(evictionTime)
	defer timer.Stop()
	for {
		select {
		case <-freed:
		case <-timer.C:
			return false
		}
		if granted, freed = a.reserve(bytes); granted || freed == nil {
			return granted
		}
	}
}

// reserve reserves bytes, or closes connections to make room. If it does not reserve them, freed is
// closed when there may be more room, or nil if there will be none.
func (a *Account) reserve(bytes int64) (granted bool, freed <-chan struct{}) {
	b := a.budget
	limit := b.Limit()
	b.mu.Lock()
	var victims []eviction
	for element := b.waiting.Front(); element != nil && !a.ended() && b.held-b.evicting+bytes > limit; {
		next := element.Next()
		// Those that hold little would make little room.
		if victim := element.Value.(*Account); victim != a && victim.held*int64(2*b.open) >= b.held {
			victims = append(victims, b.choose(element))
		}
		element = next
	}
	switch {
	case a.ended():
	case b.held+bytes <= limit:
		a.add(bytes)
		granted = true
	case b.held-b.evicting+bytes <= limit:
		if b.freed == nil {
			b.freed = make(chan struct{})
		}
		freed = b.freed
	}
	b.mu.Unlock()
	b.end(victims)
	return granted, freed
}

// ended reports whether the connection is closed or about to be. The budget's lock must be held.
func (a *Account) ended() bool { return a.closed || a.evicted }

// add adds bytes to what the connection holds. The budget's lock must be held.
func (a *Account) add(bytes int64) {
	a.held += bytes
	a.budget.held += bytes
	if a.evicted {
		a.budget.evicting += bytes
	}
	if bytes < 0 {
		a.budget.wake()
	}
}

// wake lets those that wait for memory look again. The budget's lock must be held.
func (b *Budget) wake() {
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// TryReserve is like Reserve for what the connection can do without: it closes no connections,
// and leaves half of the budget for others.
func (a *Account) TryReserve(bytes int64) bool {
	if a == nil {
		return true
	}
	limit := a.budget.Limit()
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.ended() || a.budget.held+bytes > limit/2 {
		return false
	}
	a.add(bytes)
	return true
}

// Evicted reports whether the connection was closed to make room for others.
func (a *Account) Evicted() bool {
	if a == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.evicted
}

// Release returns bytes that were reserved.
func (a *Account) Release(bytes int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.closed {
		a.add(-bytes)
	}
}

// Wait records that the connection waits for its client, until Resume is called as often.
func (a *Account) Wait() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.waits++; a.waits == 1 && !a.ended() {
		a.element = a.budget.waiting.PushBack(a)
	}
}

// Resume ends what Wait began.
func (a *Account) Resume() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.waits--; a.waits == 0 {
		a.forgetWait()
	}
}

// forgetWait removes the account from the waiting ones. The budget's lock must be held.
func (a *Account) forgetWait() {
	if a.element != nil {
		a.budget.waiting.Remove(a.element)
		a.element = nil
	}
}

// Close returns all that the connection holds. It must be called once the connection uses none of
// it any more.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.closed {
		return
	}
	a.forgetWait()
	a.add(-a.held)
	a.closed = true
	a.budget.open--
}

// accountKey is the context key of a connection's *Account.
type accountKey struct{}

// NewContext returns a context from which FromContext finds the account of a request's
// connection.
func NewContext(ctx context.Context, account *Account) context.Context {
	return context.WithValue(ctx, accountKey{}, account)
}

// FromContext returns the account of a request's connection, or nil if there is none.
func FromContext(ctx context.Context) *Account {
	account, _ := ctx.Value(accountKey{}).(*Account)
	return account
}

const (
	// textFactor is the factor by which the memory of a parsed header exceeds its size: the text is
	// kept as received and as parsed.
	textFactor = 2
	// headerLineCost is what a parsed line takes beside its text, in bytes, together with its copy in
	// a request that is forwarded.
	headerLineCost = 256
	// shortestLineBytes is the size of the shortest line of a header: a name of a letter, a colon and
	// a line break.
	shortestLineBytes = 4
)

// HeaderCost returns the memory of the header of a message once it is parsed, in bytes. It may be
// passed the message with its body.
func HeaderCost(message []byte) int64 {
	return textFactor*int64(len(message)) + headerLineCost*int64(bytes.Count(message, []byte{'\n'}))
}

// MaxHeaderCost returns the largest HeaderCost of a header with a size.
func MaxHeaderCost(size int) int64 {
	return textFactor*int64(size) + headerLineCost*int64(size)/shortestLineBytes
}
