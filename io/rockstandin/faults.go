package rockstandin

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// ErrFault is returned for a fault of an unknown kind, or whose target does not exist or does not
// support its kind.
var ErrFault = eris.New("the fault is not known")

// Fault requests that a fault be set, or lifted if Lift is set.
type Fault struct {
	Target  string  `json:"target"` // name of a server, "platform", or a data centre for all of its servers
	Kind    string  `json:"kind"`
	Lift    bool    `json:"lift,omitempty"`
	ForMs   int     `json:"forMs,omitempty"`   // lifted after this time; 0 means never
	Times   int     `json:"times,omitempty"`   // lifted after this many activations; 0 means never
	Text    string  `json:"text,omitempty"`    // of FaultCrash: the engine crashes on prompts that contain it; of FaultRawAnswer: the bytes that are sent
	Factor  float64 `json:"factor,omitempty"`  // of FaultSlow, for the times of batches, calls and operations
	DelayMs int     `json:"delayMs,omitempty"` // of FaultSlow, FaultLag, FaultOldReads and FaultRestart
	Refuse  bool    `json:"refuse,omitempty"`  // of FaultLeaving: refuse new sessions
}

// The kinds of faults.
const (
	FaultKill        = "kill"        // the process ends; lifting the fault restarts it
	FaultRestart     = "restart"     // the server is killed and restarted once, with a new incarnation
	FaultFreeze      = "freeze"      // the process stops running and keeps its state
	FaultCut         = "cut"         // traffic is discarded; lifting the fault resets the connections
	FaultSlow        = "slow"        // batches, calls and operations take longer, and answers are delayed
	FaultSilent      = "silent"      // open connections stay open but carry no traffic any more; new ones work
	FaultReset       = "reset"       // open connections are reset; new ones work
	FaultCrash       = "crash"       // an engine crashes on a prompt that contains the text, and restarts
	FaultLeaving     = "leaving"     // the server and the host list report it as leaving
	FaultOutage      = "outage"      // the platform refuses connections
	FaultLag         = "lag"         // the lag of the host list increases
	FaultLostAnswer  = "lostAnswer"  // a write, a call or a step takes effect, but its answer is lost
	FaultOldReads    = "oldReads"    // for DelayMs after a write (0: always), reads return the row before it
	FaultRawAnswer   = "rawAnswer"   // a write or a call takes effect, and the text is sent instead of its answer
	FaultCrashBefore = "crashBefore" // an application server crashes before it executes a call
	FaultCrashAfter  = "crashAfter"  // an application server crashes after it has executed a call
)

// faultRoles lists the roles of servers that support each kind of fault.
var faultRoles = map[string][]string{
	FaultKill:        {RoleModel, RoleApplication},
	FaultRestart:     {RoleModel, RoleApplication},
	FaultFreeze:      {RolePlatform, RoleModel, RoleApplication},
	FaultCut:         {RolePlatform, RoleModel, RoleApplication},
	FaultSlow:        {RolePlatform, RoleModel, RoleApplication},
	FaultSilent:      {RolePlatform, RoleModel, RoleApplication},
	FaultReset:       {RolePlatform, RoleModel, RoleApplication},
	FaultCrash:       {RoleModel},
	FaultLeaving:     {RoleModel, RoleApplication},
	FaultOutage:      {RolePlatform},
	FaultLag:         {RolePlatform},
	FaultLostAnswer:  {RolePlatform, RoleModel, RoleApplication},
	FaultOldReads:    {RolePlatform},
	FaultRawAnswer:   {RolePlatform, RoleApplication},
	FaultCrashBefore: {RoleApplication},
	FaultCrashAfter:  {RoleApplication},
}

// FaultEvent sets or lifts a fault. The reply is ErrFault or nil.
type FaultEvent struct {
	Fault Fault
	Reply func(error)
}

func runFaults(now time.Time, w *World) {
	for _, event := range w.Inbox.Faults {
		event.Reply(setFault(now, w, event.Fault))
	}
	for _, s := range w.Servers.All() {
		for _, active := range s.Faults {
			switch {
			case active.Until.IsZero():
			case now.Before(active.Until):
				w.WakeAt(active.Until)
			default:
				liftFault(now, w, s, active.Fault.Kind)
			}
		}
	}
}

func setFault(now time.Time, w *World, f Fault) error {
	roles, ok := faultRoles[f.Kind]
	if !ok {
		return fmt.Errorf("%w: kind %q", ErrFault, f.Kind)
	}
	if (f.Kind == FaultCrash || f.Kind == FaultRawAnswer) && f.Text == "" && !f.Lift {
		return fmt.Errorf("%w: kind %q without a text", ErrFault, f.Kind)
	}
	found := false
	for _, s := range w.Servers.All() {
		if s.Name != f.Target && (s.DataCentre == "" || s.DataCentre != f.Target) || !contains(roles, s.Role) {
			continue
		}
		found = true
		if f.Lift {
			liftFault(now, w, s, f.Kind)
		} else {
			startFault(now, w, s, f)
		}
	}
	if !found {
		return fmt.Errorf("%w: target %q has no fault of kind %q", ErrFault, f.Target, f.Kind)
	}
	return nil
}

func contains(list []string, value string) bool {
	for _, item := range list {
		if item == value {
			return true
		}
	}
	return false
}

func startFault(now time.Time, w *World, s *Server, f Fault) {
	switch f.Kind {
	case FaultRestart:
		stopServer(w, s)
		s.RestartAt = now.Add(milliseconds(max(f.DelayMs, w.Settings.Engine.RestartMs)))
		return
	case FaultSilent:
		w.changeSockets(s.Name, SocketBlackhole, 0)
		return
	case FaultReset:
		w.changeSockets(s.Name, SocketReset, 0)
		return
	case FaultKill:
		stopServer(w, s)
		s.RestartAt = time.Time{}
	case FaultOutage:
		w.changeSockets(s.Name, SocketClose, 0)
	case FaultFreeze:
		w.changeSockets(s.Name, SocketFreeze, 0)
	case FaultCut:
		w.changeSockets(s.Name, SocketCut, 0)
	case FaultSlow:
		w.changeSockets(s.Name, SocketDelay, milliseconds(f.DelayMs))
	case FaultLeaving:
		s.LeavingSince = now
		w.updateHostList(s)
	}
	active := ActiveFault{Fault: f, TimesLeft: f.Times}
	if f.ForMs > 0 {
		active.Until = now.Add(milliseconds(f.ForMs))
	}
	s.Faults[f.Kind] = active
}

func liftFault(now time.Time, w *World, s *Server, kind string) {
	if _, ok := s.Faults[kind]; !ok {
		return
	}
	delete(s.Faults, kind)
	switch kind {
	case FaultKill:
		s.RestartAt = now
	case FaultOutage:
		w.changeSockets(s.Name, SocketOpen, 0)
	case FaultFreeze:
		w.changeSockets(s.Name, SocketThaw, 0)
	case FaultCut:
		w.changeSockets(s.Name, SocketHeal, 0)
	case FaultSlow:
		w.changeSockets(s.Name, SocketDelay, 0)
	case FaultLeaving:
		s.LeavingSince = time.Time{}
		w.updateHostList(s)
	}
}

func (w *World) updateHostList(s *Server) {
	if !s.Down {
		w.Hosts.Put(s.Name, hostOf(s))
		w.Platform.HostsChanged = true
	}
}

// triggerFault reports whether a fault is in effect, and uses up one of its activations if their number
// is limited.
func triggerFault(s *Server, kind string) bool {
	active, ok := s.Faults[kind]
	if !ok {
		return false
	}
	if active.TimesLeft > 0 {
		if active.TimesLeft--; active.TimesLeft == 0 {
			delete(s.Faults, kind)
		} else {
			s.Faults[kind] = active
		}
	}
	return true
}

// takeRawAnswer returns the text of a FaultRawAnswer that is in effect, or an empty string, and uses up one of its
// activations.
func takeRawAnswer(s *Server) string {
	text := s.Faults[FaultRawAnswer].Fault.Text
	triggerFault(s, FaultRawAnswer)
	return text
}

// hasFault reports whether a fault is in effect.
func (s *Server) hasFault(kind string) bool {
	_, ok := s.Faults[kind]
	return ok
}

// slowFactor returns the factor by which FaultSlow multiplies times; it is at least 1.
func (s *Server) slowFactor() float64 {
	return max(1, s.Faults[FaultSlow].Fault.Factor)
}

// crash stops a server and schedules its restart.
func crash(now time.Time, w *World, s *Server) {
	stopServer(w, s)
	s.Crashes++
	s.RestartAt = now.Add(milliseconds(w.Settings.Engine.RestartMs))
	w.WakeAt(s.RestartAt)
}

// stopServer ends the process of a server, which loses everything in its memory.
func stopServer(w *World, s *Server) {
	w.changeSockets(s.Name, SocketClose, 0)
	s.Down = true
	delete(s.Faults, FaultFreeze)
	w.Hosts.Delete(s.Name)
	w.Platform.HostsChanged = true
	for id, call := range w.Calls.All() {
		if call.Event.Server == s.Name {
			call.Event.Reply(CallReply{DropAnswer: true})
			w.Calls.Delete(id)
		}
	}
	e := w.Engines.Get(s.Name)
	if e == nil {
		return
	}
	for _, session := range w.Sessions.All() {
		if session.Engine == s.Name {
			removeSession(w, session)
		}
	}
	for key := range w.Imports.All() {
		if key.Engine == s.Name {
			w.Imports.Delete(key)
		}
	}
	e.Batch, e.PendingOrder, e.Events = nil, nil, nil
	e.Cache, e.ReportedLoad = newCache(), Load{}
	// Fencing stays: engines that check the fencing number keep the highest one in durable storage.
}

func runServers(now time.Time, w *World) {
	for _, s := range w.Servers.All() {
		switch {
		case !s.Down || s.RestartAt.IsZero():
		case now.Before(s.RestartAt):
			w.WakeAt(s.RestartAt)
		default:
			s.Down, s.RestartAt = false, time.Time{}
			s.Incarnation++
			w.changeSockets(s.Name, SocketOpen, 0)
			w.updateHostList(s)
		}
	}
}
