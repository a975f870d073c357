package rockmemory

import (
	"math"
	"slices"
	"sync"
)

const (
	// SmallBytes is the size up to which a holding may use the whole account, so that large bodies and answers do not
	// displace small ones.
	SmallBytes = 128 << 10
	// smallFraction is the part of the limit, as a divisor, that only holdings of at most SmallBytes may use.
	smallFraction = 8
	// shareFactor limits what one owner holds to this multiple of what is still free for large holdings. A single owner
	// gets four fifths of that room, two get four ninths each, and a new owner always finds some of it free. In the same
	// way it limits what one owner has in small holdings to a multiple of what is free in the whole account, beside the
	// part that only they may use.
	shareFactor = 4
)

// OwnerKind is the kind of an Owner.
type OwnerKind int

// The kinds of owners.
const (
	Caller OwnerKind = iota + 1
	Server
	Peer
	Address
)

// Owner is a caller, a backend server, another host or the source address of connections for which the host holds bytes.
// All unknown callers are one owner.
type Owner struct {
	Kind OwnerKind
	Name string
}

// Account counts all bytes that a host holds, in total and by owner. A nil Account has no limit. Its methods are safe for
// concurrent use.
type Account struct {
	mu     sync.Mutex
	limit  int64
	used   int64
	owners map[Owner]share // owners without any bytes have no entry
}

// share is what an account holds for one owner.
type share struct {
	bytes int64
	small int64 // part of bytes in holdings of at most SmallBytes
}

// New returns an account with a limit in bytes.
func New(limit int64) *Account { return &Account{limit: limit, owners: make(map[Owner]share)} }

// SetLimit changes the limit in bytes. What is already held stays reserved.
func (a *Account) SetLimit(limit int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = limit
}

// Used returns the number of bytes held.
func (a *Account) Used() int64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Open returns an empty holding that counts towards the shares of its owners. Without an account it is nil.
func (a *Account) Open(owners ...Owner) *Holding {
	if a == nil {
		return nil
	}
	return &Holding{account: a, owners: owners}
}

// Holding is what the host holds for one request or answer. A nil Holding counts nothing and has no limit. Its methods are
// safe for concurrent use.
type Holding struct {
	account *Account
	owners  []Owner
	bytes   int64
	closed  bool
}

// AddOwner makes the holding count towards the share of one more owner from now on, with what it has already.
func (h *Holding) AddOwner(o Owner) {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed || slices.Contains(h.owners, o) {
		return
	}
	h.owners = append(slices.Clip(h.owners), o)
	if h.bytes > 0 {
		s := a.owners[o]
		a.owners[o] = share{bytes: s.bytes + h.bytes, small: s.small + smallPart(h.bytes)}
	}
}

// Reserve adds n bytes to the holding, and reports whether the account and the shares of all owners have room for them.
// It changes nothing if they have not, or if the holding is closed.
func (h *Holding) Reserve(n int64) bool {
	if h == nil || n == 0 {
		return true
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return false
	}
	if _, isShort := a.shortage(h, n); isShort {
		return false
	}
	a.add(h, n)
	return true
}

// Shortage returns the owner whose share has no room for n more bytes, or the zero Owner if the account has none. It
// reports false if there is room.
func (h *Holding) Shortage(n int64) (Owner, bool) {
	if h == nil {
		return Owner{}, false
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shortage(h, n)
}

// BelongsTo reports whether the holding counts towards the share of an owner; all count towards that of the zero Owner.
func (h *Holding) BelongsTo(o Owner) bool {
	if h == nil {
		return false
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return o == (Owner{}) || slices.Contains(h.owners, o)
}

// Add adds n bytes to the holding without asking for room, for what is held in any case. It leaves less room for the rest.
func (h *Holding) Add(n int64) {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !h.closed {
		a.add(h, n)
	}
}

// Shrink removes up to n bytes from the holding.
func (h *Holding) Shrink(n int64) {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(h, -min(n, h.bytes))
}

// Release removes all bytes from the holding, which can be used again.
func (h *Holding) Release() { h.Shrink(math.MaxInt64) }

// Close removes all bytes from the holding for good.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	h.closed = true
	a.add(h, -h.bytes)
}

// Bytes returns the size of the holding; it is 0 without an account.
func (h *Holding) Bytes() int64 {
	if h == nil {
		return 0
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return h.bytes
}

// shortage is like Holding.Shortage. The mutex must be held.
func (a *Account) shortage(h *Holding, n int64) (Owner, bool) {
	isSmall := h.bytes+n <= SmallBytes
	reserved := a.limit / smallFraction
	free := a.limit - a.used - n
	if !isSmall {
		free -= reserved
	}
	if free < 0 {
		return Owner{}, true
	}
	for _, o := range h.owners {
		share := a.owners[o]
		if isSmall && share.small+n > shareFactor*free+reserved || !isSmall && share.bytes+n > shareFactor*free {
			return o, true
		}
	}
	return Owner{}, false
}

func (a *Account) add(h *Holding, n int64) {
	small := -smallPart(h.bytes)
	h.bytes += n
	small += smallPart(h.bytes)
	a.used += n
	for _, o := range h.owners {
		s := a.owners[o]
		s.bytes += n
		s.small += small
		if a.owners[o] = s; s.bytes == 0 {
			delete(a.owners, o)
		}
	}
}

// smallPart returns the size of a holding if it is small, or 0.
func smallPart(bytes int64) int64 {
	if bytes > SmallBytes {
		return 0
	}
	return bytes
}
