package rockhttp

import (
	"net"
	"net/netip"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/io/rockmemory"
)

const (
	// evictGrace is the time that a connection has for progress before it may be closed for others.
	evictGrace = time.Second
	// minRate is the speed, in bytes a second, below which a head or body may be ended to make room for others.
	minRate = minBodyRate
	// maxVictims limits the connections that are closed for one request.
	maxVictims = 8
	// noVictimPause is the time until connections are looked at again after none could be closed.
	noVictimPause = 50 * time.Millisecond
	// roomTimeout limits the wait for the memory of closed connections, and roomInterval is the time between two looks.
	roomTimeout  = 100 * time.Millisecond
	roomInterval = 5 * time.Millisecond
	// addressFactor limits the connections of one source address to this multiple of what is still free, so that one address
	// has four fifths of all at most.
	addressFactor = 4
	// ipv6SiteBits is the length of the prefix that one site has.
	ipv6SiteBits = 64
)

// progress measures the speed of a connection over about a second.
type progress struct {
	begin       time.Time
	windowBegin time.Time
	windowBytes int
	lastAt      time.Time // when the last bytes came
	lastRate    float64   // bytes a second of the window before
}

func beginProgress(now time.Time) progress {
	return progress{begin: now, windowBegin: now, lastAt: now}
}

func (p *progress) add(now time.Time, n int) {
	if elapsed := now.Sub(p.windowBegin); elapsed >= evictGrace {
		p.lastRate = float64(p.windowBytes) / elapsed.Seconds()
		p.windowBegin, p.windowBytes = now, 0
	}
	p.windowBytes, p.lastAt = p.windowBytes+n, now
}

// rate returns the speed in bytes a second. It is 0 after a pause of evictGrace, however much came before.
func (p *progress) rate(now time.Time) float64 {
	if now.Sub(p.lastAt) >= evictGrace {
		return 0
	}
	if elapsed := now.Sub(p.windowBegin); elapsed >= evictGrace {
		return float64(p.windowBytes) / elapsed.Seconds()
	}
	return max(p.lastRate, float64(p.windowBytes)/evictGrace.Seconds())
}

// admit returns a new connection that is counted, or nil if there are too many.
func (c *Connections) admit(conn net.Conn) *watchedConn {
	address := sourceOf(conn)
	owner := rockmemory.Owner{Kind: rockmemory.Address, Name: address}
	w := &watchedConn{
		Conn: conn, connections: c, address: address, held: c.Memory.Open(owner),
		head: c.Memory.Open(owner, rockmemory.Owner{Kind: rockmemory.Caller}),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasPlace(address) {
		return nil
	}
	c.open[w] = struct{}{}
	c.byAddress[address]++
	w.held.Add(connectionBytes)
	w.beginIdle()
	return w
}

// hasPlace reports whether one more connection of an address may be open, after it has closed another one if need be. The
// mutex must be held.
func (c *Connections) hasPlace(address string) bool {
	if c.MaxOpen <= 0 {
		return true
	}
	free := c.MaxOpen - len(c.open) - 1
	switch {
	case free < 0:
		return c.closeOne(func(*watchedConn) bool { return true })
	case c.byAddress[address] >= addressFactor*(free+1):
		return c.closeOne(func(w *watchedConn) bool { return w.address == address })
	}
	return true
}

// closeOne closes one connection: that which costs most and progresses least, or else that which has been idle longest. It
// reports false if there is none. The mutex must be held.
func (c *Connections) closeOne(mayClose func(w *watchedConn) bool) bool {
	now := time.Now()
	victim := c.worst(now, mayClose, (*watchedConn).waste)
	if victim == nil {
		victim = c.worst(now, mayClose, (*watchedConn).idleTime)
	}
	if victim == nil {
		return false
	}
	c.note(rockreason.ConnectionsFull)
	c.remove(victim)
	_ = victim.Conn.Close()
	return true
}

// makeRoom closes connections that receive slowly, to free n bytes for a holding. It reports whether the holding has room
// after a short wait. The connection of the holding stays open.
func (c *Connections) makeRoom(own *watchedConn, held *rockmemory.Holding, n int64) bool {
	owner, isShort := held.Shortage(n)
	if isShort && !c.evict(own, owner, n) {
		return false
	}
	for end := time.Now().Add(roomTimeout); isShort && time.Now().Before(end); _, isShort = held.Shortage(n) {
		time.Sleep(roomInterval)
	}
	return !isShort
}

// evict ends the reads of connections that count towards the share of an owner, until they have n bytes together. It
// reports whether there was one.
func (c *Connections) evict(own *watchedConn, owner rockmemory.Owner, n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Before(c.noVictimTill) {
		return false
	}
	freed, victims := int64(0), 0
	for freed < n && victims < maxVictims {
		w := c.worst(now, func(w *watchedConn) bool { return w != own && w.isReceivingFor(owner) }, (*watchedConn).waste)
		if w == nil {
			break
		}
		freed += w.evict()
		victims++
	}
	if victims == 0 {
		c.noVictimTill = now.Add(noVictimPause)
	}
	return victims > 0
}

// worst returns the connection with the largest cost above 0 of those that may be closed, or nil. The mutex must be held.
func (c *Connections) worst(now time.Time, mayClose func(w *watchedConn) bool, cost func(w *watchedConn, now time.Time) float64) *watchedConn {
	var worst *watchedConn
	largest := 0.0
	for w := range c.open {
		if v := cost(w, now); v > largest && mayClose(w) {
			worst, largest = w, v
		}
	}
	return worst
}

// forget removes a connection that ends.
func (c *Connections) forget(w *watchedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(w)
}

// remove removes a connection once. The mutex must be held.
func (c *Connections) remove(w *watchedConn) {
	if _, ok := c.open[w]; !ok {
		return
	}
	delete(c.open, w)
	if c.byAddress[w.address]--; c.byAddress[w.address] == 0 {
		delete(c.byAddress, w.address)
	}
}

// waste returns the bytes that a connection holds times the seconds since its head or body began, or 0 if it may not be
// closed: a request of it may be at a backend server, or it progresses.
func (w *watchedConn) waste(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	age := now.Sub(w.progress.begin)
	if w.isEvicted || w.phase == phaseRequest || w.phase == phaseIdle && w.isUsed || age < evictGrace || w.progress.rate(now) >= minRate {
		return 0
	}
	return float64(w.bytes()) * age.Seconds()
}

// idleTime returns the seconds since a connection became idle, or 0 if it is not idle.
func (w *watchedConn) idleTime(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if age := now.Sub(w.progress.begin); w.phase == phaseIdle && age >= evictGrace {
		return age.Seconds()
	}
	return 0
}

// isReceivingFor reports whether a head or body is being received that counts towards the share of an owner.
func (w *watchedConn) isReceivingFor(owner rockmemory.Owner) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.phase == phaseHead && w.head.BelongsTo(owner) || w.phase == phaseBody && w.body.BelongsTo(owner)
}

// evict ends the reads of the connection and returns the bytes that it holds.
func (w *watchedConn) evict() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.phase != phaseHead && w.phase != phaseBody {
		return 0 // its head or body has ended meanwhile
	}
	w.isEvicted = true
	_ = w.Conn.SetReadDeadline(time.Now())
	return w.bytes()
}

// bytes returns what the connection holds; at least 1. The mutex must be held.
func (w *watchedConn) bytes() int64 { return 1 + w.held.Bytes() + w.head.Bytes() + w.body.Bytes() }

// sourceOf returns the source address of a connection without its port; of IPv6 the prefix of its site.
func sourceOf(conn net.Conn) string {
	from, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	address := from.Addr().Unmap().WithZone("")
	if address.Is6() {
		if site, err := address.Prefix(ipv6SiteBits); err == nil {
			return site.String()
		}
	}
	return address.String()
}
