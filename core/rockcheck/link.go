package rockcheck

import "time"

// platformSite is the name of the platform as an end of a network partition.
const platformSite = "platform"

type sitePair struct{ a, b string }

// Link holds the network partitions between data centres, and between them and the platform.
type Link struct {
	partitions map[sitePair]time.Time // end of the partition
}

func newSitePair(a, b string) sitePair {
	if b < a {
		a, b = b, a
	}
	return sitePair{a, b}
}

// Partition blocks all messages between two sites for a while.
func (f *Fleet) Partition(a, b string, d time.Duration) {
	if a == b {
		return
	}
	f.Link.partitions[newSitePair(a, b)] = f.Now.Add(d)
}

// Reaches reports whether messages currently pass between two sites.
func (f *Fleet) Reaches(a, b string) bool { return !f.Now.Before(f.Link.partitions[newSitePair(a, b)]) }

// delay returns the random delay of one message.
func (f *Fleet) delay() time.Duration {
	limit := 20 * time.Millisecond
	if f.chance(0.02) {
		limit *= 10
	}
	return f.between(time.Millisecond, limit)
}

// deliverToHost runs do on a host after a delay. If the host is frozen then, do waits for the end
// of the freeze; if it was killed or restarted in the meantime, do never runs.
func (f *Fleet) deliverToHost(h *Host, d time.Duration, do func()) {
	incarnation := h.Incarnation
	f.AfterFunc(d, func() { f.arrive(h, incarnation, do) })
}

func (f *Fleet) arrive(h *Host, incarnation uint64, do func()) {
	switch {
	case !h.Running || h.Incarnation != incarnation:
	case f.Now.Before(h.FrozenUntil):
		f.AfterFunc(h.FrozenUntil.Sub(f.Now), func() { f.arrive(h, incarnation, do) })
	default:
		do()
	}
}
