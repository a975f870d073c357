package rockhttp

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Once the host refuses new requests, a request whose body has not ended is refused in any case. The limits let bodies
// that are about to end do so, because some callers read the answer only then.
const (
	// closingBodyTimeout limits the time for the rest of a body that is being read when the host begins to refuse.
	closingBodyTimeout = time.Second
	// lateBodyTimeout limits the time for a body that begins later. It is less than what is left for the last answers.
	lateBodyTimeout = 100 * time.Millisecond
)

// bodyDeadline is the read deadline of a request's body: the deadline of the part that is being read, or an earlier one
// once the host refuses new requests.
type bodyDeadline struct {
	control  *http.ResponseController
	closing  context.Context // ends when the host refuses new requests
	stopWait func() bool

	mu      sync.Mutex
	step    time.Time // of the part that is being read
	closeAt time.Time // of the whole body, once the host refuses new requests; zero before
	ended   bool
}

// newBodyDeadline sets the deadline for a body, which becomes earlier when the context closing ends; nil means never.
func newBodyDeadline(w http.ResponseWriter, closing context.Context) *bodyDeadline {
	if closing == nil {
		closing = context.Background()
	}
	d := &bodyDeadline{control: http.NewResponseController(w), closing: closing}
	d.setStep(time.Now().Add(bodyTimeout))
	if d.isClosing() {
		d.setClose(lateBodyTimeout)
		d.stopWait = func() bool { return true }
		return d
	}
	d.stopWait = context.AfterFunc(closing, func() { d.setClose(closingBodyTimeout) })
	return d
}

// isClosing reports whether the host refuses new requests.
func (d *bodyDeadline) isClosing() bool { return d.closing.Err() != nil }

// setStep sets the deadline of the part that is being read.
func (d *bodyDeadline) setStep(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step = at
	d.apply()
}

// setClose limits the time for the rest of the body.
func (d *bodyDeadline) setClose(timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeAt = time.Now().Add(timeout)
	d.apply()
}

// apply sets the earlier one of the two deadlines. The mutex must be held.
func (d *bodyDeadline) apply() {
	at := d.step
	if !d.closeAt.IsZero() && d.closeAt.Before(at) {
		at = d.closeAt
	}
	if !d.ended {
		_ = d.control.SetReadDeadline(at) // not every ResponseWriter has deadlines
	}
}

// clear removes the deadline after the body. Otherwise net/http would take its passing for a caller that left.
func (d *bodyDeadline) clear() {
	d.stop()
	_ = d.control.SetReadDeadline(time.Time{})
}

// stop leaves the deadline as it is.
func (d *bodyDeadline) stop() {
	d.stopWait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
}
