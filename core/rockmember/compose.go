package rockmember

import (
	"cmp"
	"slices"
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rocktable"
)

const (
	// messageBytes limits the estimated size of a message. Rounds of 4.5 messages a second, with 180 bytes of QUIC and
	// packet headers for each, exceed the 4 KB/s of a host with it (KNOWN-RED.txt). With 800 bytes, heartbeats of other
	// data centres do not fit: with 340 hosts, 2% of the live hosts were taken for down, against 0.1% with 1,000 bytes.
	messageBytes = 1000
	// pushedBytes replaces messageBytes where the platform pushes reports, for the reason of pushedRemotePeers.
	pushedBytes = 1800
	// headerBytes is the encoded size of the numbers among the message's own fields.
	headerBytes = 40
	// tableNoticeBytes is the encoded size of the version of one followed table.
	tableNoticeBytes = 20

	// departureReportFor is the time for which every message reports a departure.
	departureReportFor = 15 * time.Second
	// The following limit the rows of each kind in a message.
	departureRows    = 4
	recentHostRows   = 3
	recentServerRows = 3
	probedServerRows = 2
	loadRows         = 6
	pushedLoadRows   = 40 // replaces loadRows where the platform pushes; messages have no status reports there
	demandRows       = 3
	// minDemand is the demand in tokens per second below which a caller is treated as having none when its limit is
	// divided.
	minDemand = 0.1
	// Numbers of heartbeats of local and remote hosts that a message relays to a local and to a remote peer. A local
	// peer receives heartbeats of local hosts directly, whereas a remote peer depends on relays for them.
	localRelaysToLocal   = 3
	remoteRelaysToLocal  = 9
	localRelaysToRemote  = 11
	remoteRelaysToRemote = 1
	// relayMaxAge is the age up to which a heartbeat is relayed.
	relayMaxAge = 8 * time.Second
)

// draft is a message that is filled with rows up to its size limit.
type draft struct {
	rocktable.PeerMessage
	bytesLeft int
	hosts     map[rocktable.HostID]bool
	servers   map[rocktable.BackendServerID]bool
}

// compose returns a message for a host. Recent changes and demand come first, then heartbeats and load, then further
// backend servers in turn as far as they fit.
func compose(now time.Time, w *rocktable.World, to *rocktable.Host) rocktable.PeerMessage {
	d := &draft{
		PeerMessage: SelfMessage(w),
		hosts:       map[rocktable.HostID]bool{w.Self: true, to.ID: true},
		servers:     make(map[rocktable.BackendServerID]bool),
	}
	d.bytesLeft = messageBytes
	if w.Limits.PlatformPushes {
		d.bytesLeft = pushedBytes
	}
	d.bytesLeft -= headerBytes + tableNoticeBytes*len(d.Tables) + len(d.Sender) + len(d.Address) + len(d.DataCentre) + len(d.Region)
	g := &w.Gossip
	floor := g.RoundChangeSeqs[g.Round%len(g.RoundChangeSeqs)]
	// One row in each message has an address. It lets a host that started while the platform is out learn all backend
	// servers.
	addServersInTurn(w, d, 1, true)
	if !w.Limits.PlatformPushes {
		addWork(w, d)
	}
	addDepartures(now, w, d)
	addRecent(w, d, floor)
	addSuspects(now, w, d, floor)
	addParts(now, w, d)
	// Demand is reported nowhere else. It comes before the heartbeats, which fill the message in a large fleet.
	addDemand(now, w, d)
	if to.DataCentre == w.SelfHost().DataCentre {
		addHeartbeats(now, w, d, localRelaysToLocal, remoteRelaysToLocal)
	} else {
		addHeartbeats(now, w, d, localRelaysToRemote, remoteRelaysToRemote)
	}
	if w.Limits.PlatformPushes {
		addLoad(w, d) // status reports are left out: every host receives them from the platform
		return d.PeerMessage
	}
	addProbedServers(w, d)
	addLoad(w, d)
	addServersInTurn(w, d, w.Servers.Len(), false)
	return d.PeerMessage
}

// addDepartures adds backend servers that began to leave within departureReportFor. Other changes soon push a departure
// out of the recent ones, and a peer that missed the urgent message would then learn of it only by chance. The rows
// include the address, because a host that starts while the platform is out knows no backend server.
func addDepartures(now time.Time, w *rocktable.World, d *draft) {
	var leaving []*rocktable.BackendServer
	for _, s := range w.Servers.All() {
		if s.State == rocktable.StateLeaving && now.Sub(s.LeavingSince) < departureReportFor {
			leaving = append(leaving, s)
		}
	}
	slices.SortFunc(leaving, func(a, b *rocktable.BackendServer) int { return b.LeavingSince.Compare(a.LeavingSince) })
	for _, s := range leaving[:min(len(leaving), departureRows)] {
		d.addServer(w, s, true)
	}
}

func addRecent(w *rocktable.World, d *draft, floor uint64) {
	var hosts []*rocktable.Host
	for _, h := range w.Hosts.All() {
		if h.ChangeSeq > floor && h.State != rocktable.StateDown {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(a, b *rocktable.Host) int { return cmp.Compare(b.ChangeSeq, a.ChangeSeq) })
	for _, h := range hosts[:min(len(hosts), recentHostRows)] {
		d.addHost(w, h, true)
	}
	var servers []*rocktable.BackendServer
	for _, s := range w.Servers.All() {
		if s.ChangeSeq > floor && s.StatusSeq > 0 {
			servers = append(servers, s)
		}
	}
	slices.SortFunc(servers, func(a, b *rocktable.BackendServer) int { return cmp.Compare(b.ChangeSeq, a.ChangeSeq) })
	for _, s := range servers[:min(len(servers), recentServerRows)] {
		d.addServer(w, s, false)
	}
}

// addHeartbeats adds hosts with recently received heartbeat numbers, and one host in turn with its address.
func addHeartbeats(now time.Time, w *rocktable.World, d *draft, localCount, remoteCount int) {
	local, remote, _ := peers(w)
	for _, h := range append(leastRelayed(now, w, remote, remoteCount), leastRelayed(now, w, local, localCount)...) {
		d.addHost(w, h, false)
	}
	all, others, _ := peers(w)
	all = append(all, others...)
	if len(all) > 0 {
		d.addHost(w, all[w.Gossip.HostCursor%len(all)], true)
		w.Gossip.HostCursor++
	}
}

// leastRelayed returns up to n hosts whose heartbeat numbers are younger than relayMaxAge and were relayed to the
// fewest peers, in random order among equals.
func leastRelayed(now time.Time, w *rocktable.World, hosts []*rocktable.Host, n int) []*rocktable.Host {
	hosts = slices.DeleteFunc(hosts, func(h *rocktable.Host) bool { return now.Sub(h.HeartbeatAt) > relayMaxAge })
	choose(w, hosts, len(hosts))
	slices.SortStableFunc(hosts, func(a, b *rocktable.Host) int { return cmp.Compare(a.HeartbeatRelays, b.HeartbeatRelays) })
	return hosts[:min(n, len(hosts))]
}

// addProbedServers adds backend servers that this host probes, in turn. No other host has newer reports of them.
func addProbedServers(w *rocktable.World, d *draft) {
	var own []*rocktable.BackendServer
	for _, s := range w.Servers.All() {
		if s.Probing && s.StatusSeq > 0 {
			own = append(own, s)
		}
	}
	for range min(len(own), probedServerRows) {
		d.addServer(w, own[w.Gossip.OwnServerCursor%len(own)], false)
		w.Gossip.OwnServerCursor++
	}
}

func addLoad(w *rocktable.World, d *draft) {
	var used []*rocktable.BackendServer
	for _, s := range w.Servers.All() {
		if s.InFlight > 0 {
			used = append(used, s)
		}
	}
	slices.SortFunc(used, func(a, b *rocktable.BackendServer) int { return cmp.Compare(b.InFlight, a.InFlight) })
	if w.Limits.PlatformPushes {
		addMemory(d, used)
		return
	}
	for _, s := range used[:min(len(used), loadRows)] {
		if d.reserve(7 + len(s.Name)) {
			d.Loads = append(d.Loads, rocktable.LoadUpdate{Server: s.Name, InFlight: s.InFlight})
		}
	}
}

// addMemory adds the load at backend servers with its first stages in flight and the memory reserved for it.
func addMemory(d *draft, used []*rocktable.BackendServer) {
	for _, s := range used[:min(len(used), pushedLoadRows)] {
		if d.reserve(14 + len(s.Name)) {
			d.Loads = append(d.Loads, rocktable.LoadUpdate{Server: s.Name, InFlight: s.InFlight, FirstStageInFlight: s.FirstStageInFlight, ReservedMemory: s.ReservedMemory})
		}
	}
}

// addDemand adds the largest demands of callers that have a limit. The limit is divided among hosts by demand.
func addDemand(now time.Time, w *rocktable.World, d *draft) {
	var demands []rocktable.DemandUpdate
	for _, c := range w.Callers.All() {
		if c.Config.TokensPerSecond <= 0 || c.Demand <= 0 {
			continue
		}
		if rate := rockadmit.DemandAt(now, c); rate >= minDemand {
			demands = append(demands, rocktable.DemandUpdate{Caller: c.Config.Name, Rate: rate})
		}
	}
	slices.SortFunc(demands, func(a, b rocktable.DemandUpdate) int { return cmp.Compare(b.Rate, a.Rate) })
	for _, u := range demands[:min(len(demands), demandRows)] {
		if d.reserve(9 + len(u.Caller)) {
			d.Demands = append(d.Demands, u)
		}
	}
}

// addServersInTurn adds up to n backend servers in turn, until one does not fit.
func addServersInTurn(w *rocktable.World, d *draft, n int, withAddress bool) {
	var all []*rocktable.BackendServer
	for _, s := range w.Servers.All() {
		if s.StatusSeq > 0 {
			all = append(all, s)
		}
	}
	for range min(n, len(all)) {
		if !d.addServer(w, all[w.Gossip.ServerCursor%len(all)], withAddress) {
			return
		}
		w.Gossip.ServerCursor++
	}
}

func (d *draft) reserve(size int) bool {
	if size > d.bytesLeft {
		return false
	}
	d.bytesLeft -= size
	return true
}

func (d *draft) addHost(w *rocktable.World, h *rocktable.Host, withAddress bool) {
	u := hostUpdate(w, h, withAddress)
	if d.hosts[h.ID] || !d.reserve(26+len(u.Name)+len(u.Address)+len(u.DataCentre)+len(u.Region)) {
		return
	}
	d.hosts[h.ID] = true
	h.HeartbeatRelays++
	d.Hosts = append(d.Hosts, u)
}

// addServer adds a row, unless the message has it already, and reports whether it fits.
func (d *draft) addServer(w *rocktable.World, s *rocktable.BackendServer, withAddress bool) bool {
	if d.servers[s.ID] {
		return true
	}
	u := serverUpdate(w, s, withAddress)
	text := len(u.Name) + len(u.Address) + len(u.DataCentre) + len(u.Region)
	text += len(u.Status.Kind) + len(u.Status.Model) + len(u.Status.Version) + len(u.Status.State)
	if !d.reserve(58 + text) {
		return false
	}
	d.servers[s.ID] = true
	d.Servers = append(d.Servers, u)
	return true
}

// hostUpdate returns the update of a host, with its address and data centre if withAddress is set.
func hostUpdate(w *rocktable.World, h *rocktable.Host, withAddress bool) rocktable.HostUpdate {
	u := rocktable.HostUpdate{
		Name: h.Name, Incarnation: h.Incarnation, Heartbeat: h.Heartbeat, State: h.State, ConfigVersion: h.ConfigVersion,
	}
	if dc := w.DataCentres.Get(h.DataCentre); withAddress && dc != nil {
		u.Address, u.DataCentre, u.Region = h.Address, dc.Name, dc.Region
	}
	return u
}

func serverUpdate(w *rocktable.World, s *rocktable.BackendServer, withAddress bool) rocktable.ServerUpdate {
	u := rocktable.ServerUpdate{Name: s.Name, State: s.State, Drained: s.Drained, StatusSeq: s.StatusSeq, Status: s.Status}
	if dc := w.DataCentres.Get(s.DataCentre); withAddress && dc != nil {
		u.Address, u.DataCentre, u.Region, u.Role = s.Address, dc.Name, dc.Region, s.Role
	}
	return u
}
