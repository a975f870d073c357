package rockfollow

import (
	"time"

	"sassafrasrock/core/rocktable"
)

// confirmLimit is the time without a confirmation after which a copy is reported as unconfirmed. It is above the wait
// of a read without changes.
const confirmLimit = 2500 * time.Millisecond

// reportUnconfirmed logs when a copy has not been confirmed for confirmLimit, with what it waits for, and when it is
// confirmed again.
func reportUnconfirmed(now time.Time, w *rocktable.World) {
	for _, id := range urgentTables {
		t := w.FollowedTables.Get(id)
		since := t.ConfirmedAt
		if since.IsZero() {
			since = w.StartedAt
		}
		unconfirmed := now.Sub(since) > confirmLimit
		if unconfirmed == t.Unconfirmed {
			continue
		}
		t.Unconfirmed = unconfirmed
		if unconfirmed {
			w.LogChange("copy", id.String(), "confirmed", "unconfirmed: "+waitsFor(now, w, t))
		} else {
			w.LogChange("copy", id.String(), "unconfirmed", "confirmed")
		}
	}
}

// waitsFor says what a copy waits for that was not confirmed.
func waitsFor(now time.Time, w *rocktable.World, t *rocktable.FollowedTable) string {
	switch {
	case t.Reading:
		return "read since " + now.Sub(t.ReadSince).Round(time.Millisecond).String()
	case w.Follow.Follows:
		return "read is due in " + t.NextRead.Sub(now).Round(time.Millisecond).String()
	}
	return "no source"
}
