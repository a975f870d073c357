package rockcheck

import "time"

// platformPlace is the place of the platform for cuts.
const platformPlace = "platform"

type pair struct{ a, b string }

// Link holds the cuts between data centres, and between them and the platform.
type Link struct {
	cuts map[pair]time.Time // until when
}

func pairOf(a, b string) pair {
	if b < a {
		a, b = b, a
	}
	return pair{a, b}
}

// Cut separates two places for a while.
func (f *Fleet) Cut(a, b string, d time.Duration) {
	if a == b {
		return
	}
	f.Link.cuts[pairOf(a, b)] = f.Now.Add(d)
}

// Reaches reports whether messages pass between two places now.
func (f *Fleet) Reaches(a, b string) bool { return !f.Now.Before(f.Link.cuts[pairOf(a, b)]) }

// delay draws the time that one message takes.
func (f *Fleet) delay() time.Duration {
	limit := 20 * time.Millisecond
	if f.chance(0.02) {
		limit *= 10
	}
	return f.between(time.Millisecond, limit)
}

// toHost runs do at a host after a delay: at its wake if it is frozen, never if it was restarted meanwhile.
func (f *Fleet) toHost(h *Host, d time.Duration, do func()) {
	incarnation := h.Incarnation
	f.After(d, func() { f.arrive(h, incarnation, do) })
}

func (f *Fleet) arrive(h *Host, incarnation uint64, do func()) {
	switch {
	case !h.Running || h.Incarnation != incarnation:
	case f.Now.Before(h.FrozenUntil):
		f.After(h.FrozenUntil.Sub(f.Now), func() { f.arrive(h, incarnation, do) })
	default:
		do()
	}
}
