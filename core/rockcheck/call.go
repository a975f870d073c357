package rockcheck

import (
	"fmt"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// Application is a fake application server. The fleet counts the calls that it runs.
type Application struct {
	Name        string
	DataCentre  string
	Incarnation uint64
	Up          bool
	FrozenUntil time.Time
}

// Call is a non-idempotent application call sent to one host.
type Call struct {
	Name       string
	Key        string
	Answer     *rocktable.Answer // nil until it is answered
	HostKilled bool
	host       *Host
}

func (f *Fleet) addApplication(name, dc string) {
	f.Applications = append(f.Applications, &Application{Name: name, DataCentre: dc, Incarnation: 1, Up: true})
}

func (f *Fleet) application(name string) *Application {
	for _, a := range f.Applications {
		if a.Name == name {
			return a
		}
	}
	return nil
}

// SendCall sends a non-idempotent call to a host.
func (f *Fleet) SendCall(h *Host, key string) *Call {
	h.lastID++
	c := &Call{Name: fmt.Sprintf("%s#%d/%d", h.Name, h.Incarnation, h.lastID), Key: key, host: h}
	f.Calls = append(f.Calls, c)
	h.calls[h.lastID] = c
	row := rocktable.Request{
		ID: h.lastID, Caller: h.World.InternCaller("guild").ID, ArrivedAt: f.Now.Add(h.Offset),
		Call: &rocktable.Call{Service: h.World.InternService("ledger").ID, Method: "POST", IdempotencyKey: key, Digest: 5},
	}
	f.trace(h.Name, "call %s with key %s", c.Name, key)
	f.post(h, func(in *rocktable.Inbox) { in.Arrivals = append(in.Arrivals, rocktable.Arrival{Request: row}) })
	return c
}

// runCall sends a call to an application server once.
func (f *Fleet) runCall(h *Host, c *Call, start rocktable.CallStart) {
	f.trace(h.Name, "call %s goes to %s", c.Name, start.Address)
	a := f.application(start.Address)
	ended := false
	incarnation := h.Incarnation
	end := func(e rocktable.CallEnded) {
		// A killed host loses its connections, and its next incarnation numbers calls from 1 again.
		if ended || h.Incarnation != incarnation {
			return
		}
		ended = true
		e.Request, e.Server, e.Run = start.Request, start.Server, start.Run
		fill := func(in *rocktable.Inbox) { in.CallsEnded = append(in.CallsEnded, e) }
		f.post(h, fill)
		if f.chance(0.02) {
			f.deliverToHost(h, f.delay(), func() { f.post(h, fill) })
		}
	}
	unknown := rocktable.CallEnded{Sent: true, Reason: rockreason.OutcomeUnknown}
	f.deliverToHost(h, start.Timeout, func() { end(unknown) })
	reached := f.Reaches(h.DataCentre, a.DataCentre) && a.Up
	if !reached {
		f.deliverToHost(h, f.delay(), func() { end(rocktable.CallEnded{Reason: rockreason.ServerUnreachable}) })
		return
	}
	f.AfterFunc(f.delay(), func() {
		f.AfterFunc(max(0, a.FrozenUntil.Sub(f.Now)), func() { f.serveCall(h, c, a, end) })
	})
}

func (f *Fleet) serveCall(h *Host, c *Call, a *Application, end func(rocktable.CallEnded)) {
	if !a.Up || !f.Reaches(h.DataCentre, a.DataCentre) {
		f.deliverToHost(h, f.delay(), func() { end(rocktable.CallEnded{Sent: true, Reason: rockreason.OutcomeUnknown, Crashed: true}) })
		return
	}
	f.CallRunsByKey[c.Key]++
	f.CallRunsByName[c.Name]++
	f.CallOutcomes[c.Key] = "done by " + c.Name
	body := []byte(f.CallOutcomes[c.Key])
	f.trace(a.Name, "call %s runs", c.Name)
	if f.chance(0.03) {
		return // the answer is lost, and the call ends with its timeout
	}
	f.deliverToHost(h, f.between(time.Millisecond, 500*time.Millisecond), func() {
		if f.Reaches(h.DataCentre, a.DataCentre) {
			end(rocktable.CallEnded{Sent: true, Status: 200, Body: body})
		}
	})
}

// StopApplication stops an application server, which restarts after the given time.
func (f *Fleet) StopApplication(a *Application, down time.Duration) {
	if !a.Up {
		return
	}
	a.Up = false
	f.AfterFunc(down, func() {
		a.Up = true
		a.Incarnation++
	})
}
