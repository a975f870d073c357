package rockstandin

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"sassafrasrock/core/rocktable"
)

// ErrSettings is returned for settings that are valid one by one but inconsistent with each other.
var ErrSettings = eris.New("inconsistent settings")

// PlatformName is the name of the platform's server, also as the target of a fault.
const PlatformName = "platform"

// The roles of servers, as the host list names them.
const (
	RolePlatform    = "platform"
	RoleModel       = "model"
	RoleApplication = "application"
)

// NewWorld returns the initial state of a stand-in, or ErrSettings.
func NewWorld(now time.Time, settings Settings) (*World, error) {
	w := &World{Settings: settings, Rand: rand.New(rand.NewPCG(settings.Seed, 1))}
	for _, kind := range settings.Kinds {
		w.Kinds.Put(kind.Name, kind)
	}
	w.Platform.Reads = newLimiter(settings.Platform.ReadsPerSecond)
	w.Platform.Writes = newLimiter(settings.Platform.WritesPerSecond)
	servers := []Server{{Name: PlatformName, Role: RolePlatform, Address: settings.Platform.Address}}
	for _, e := range settings.Engines {
		if w.Kinds.Get(e.Kind) == nil {
			return nil, fmt.Errorf("%w: engine %s: kind %q is not listed in kinds", ErrSettings, e.Name, e.Kind)
		}
		if e.LastLayer < e.FirstLayer || e.LastLayer >= e.Layers {
			return nil, fmt.Errorf("%w: engine %s: layer range %d-%d does not fit a model of %d layers", ErrSettings, e.Name, e.FirstLayer, e.LastLayer, e.Layers)
		}
		w.Engines.Put(e.Name, Engine{Name: e.Name, Settings: e, Seeds: layerSeeds(e.Model, e.FirstLayer, e.LastLayer)})
		servers = append(servers, Server{Name: e.Name, Role: RoleModel, Address: e.Address, DataCentre: e.DataCentre, Region: e.Region})
	}
	for _, a := range settings.Applications {
		servers = append(servers, Server{
			Name: a.Name, Role: RoleApplication, Address: a.Address,
			DataCentre: a.DataCentre, Region: a.Region, CallMs: a.CallMs,
		})
	}
	for _, s := range servers {
		if w.Servers.Get(s.Name) != nil {
			return nil, fmt.Errorf("%w: two servers have the name %q", ErrSettings, s.Name)
		}
		s.Incarnation, s.Faults = firstIncarnation(now), make(map[string]ActiveFault)
		w.Servers.Put(s.Name, s)
	}
	for _, host := range settings.Platform.Hosts {
		w.Hosts.Put(host.Name, host)
	}
	return w, nil
}

// firstIncarnation derives the incarnation from the clock. A restart of the stand-in's process then
// appears as a restart of each server.
func firstIncarnation(now time.Time) uint64 { return uint64(now.UnixMilli()) }

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/4)))
}

// addServersToHostList lists the engines and application servers with their addresses.
func (w *World) addServersToHostList() {
	for _, s := range w.Servers.All() {
		if s.Role != RolePlatform {
			w.Hosts.Put(s.Name, hostOf(s))
		}
	}
	w.Platform.HostsChanged = true
}

func hostOf(s *Server) rocktable.ListedHost {
	state := "live"
	if !s.LeavingSince.IsZero() {
		state = "leaving"
	}
	return rocktable.ListedHost{
		Name: s.Name, Role: s.Role, Address: s.Address,
		DataCentre: s.DataCentre, Region: s.Region, State: state,
	}
}
