package rockmember

import (
	"cmp"
	"slices"
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rocktable"
)

const (
	// nearPeers is the number of peers of the data centre that get a message each round.
	nearPeers = 3
	// farPartners is the number of hosts of other data centres that a host sends to. They stay the same, because a
	// handshake with mutual TLS costs about as much as a second's messages.
	farPartners = 8
	// urgentNear and urgentFar are the numbers of peers that learn of a departure at once.
	// Each peer that learns it forwards it once, so 4 reach nearly all hosts in a few steps.
	urgentNear = 4
	urgentFar  = 2
	// urgentEvery bounds the extra messages of one host.
	urgentEvery = 200 * time.Millisecond
	urgentRows  = 32
	// welcomeBeats is the heartbeat number up to which a host has just started.
	welcomeBeats = 4
	welcomeRows  = 2000
	// messageBytes limits the encoded message; 4.5 messages a second then stay within 4 KB/s with their frames. QUIC,
	// its acknowledgement and the headers of three packets add 180 bytes to each. With 800 bytes there is no room for
	// heartbeats of other data centres: in trials with 340 hosts 2% of them were taken for down, with 1,000 0.1%.
	messageBytes = 1000
	// pushedBytes and pushedFar replace messageBytes and the random number of far peers where the platform pushes reports: each
	// host has to know the memory that all others have reserved at a backend server, or together they reserve too much.
	pushedBytes = 1800
	pushedFar   = 5
	// headerBytes is the size of the numbers in the message's own fields.
	headerBytes = 40

	// departureFor is the time for which every message tells of a departure.
	departureFor  = 15 * time.Second
	departureRows = 4
	recentHosts   = 3
	recentServers = 3
	ownServers    = 2
	sentRows      = 6
	pushedRows    = 40 // where no reports are told, so that there is room
	demandRows    = 3
	// leastDemand is the demand in tokens per second below which a caller's limit is divided as if it asked nothing.
	leastDemand = 0.1
	// Heartbeats relayed to a peer of the data centre, which hears those of its data centre directly,
	// and to one of another data centre, for which the own data centre's are news.
	relayedNear    = 3
	relayedFar     = 9
	relayedNearOut = 11
	relayedFarOut  = 1
	// fresh is the age up to which a heartbeat is worth relaying.
	fresh = 8 * time.Second
)

// Header returns a message with this host's own row.
func Header(w *rocktable.World) rocktable.PeerMessage {
	h := w.SelfHost()
	dc := w.DataCentres.Get(h.DataCentre)
	return rocktable.PeerMessage{
		Sender: h.Name, Address: h.Address, DataCentre: dc.Name, Region: dc.Region,
		Incarnation: h.Incarnation, Heartbeat: h.Heartbeat, State: h.State,
		InFlight: w.Attempts.Len(), ConfigVersion: w.ConfigVersion, LostLeaseVersion: w.Lease.LostVersion,
	}
}

// SendTo sends a message to the sender of another one.
func SendTo(w *rocktable.World, to, m rocktable.PeerMessage) {
	send(w, w.InternHost(to.Sender).ID, to.Address, m)
}

func send(w *rocktable.World, host rocktable.HostID, address string, m rocktable.PeerMessage) {
	w.Outbox.PeerSends = append(w.Outbox.PeerSends, rocktable.PeerSend{Host: host, Address: address, Message: m})
}

// gossip sends this round's messages if they are due.
func gossip(now time.Time, w *rocktable.World) {
	self, g := w.SelfHost(), &w.Gossip
	if now.Before(self.NextSend) {
		w.WakeAt(self.NextSend)
		return
	}
	self.NextSend = now.Add(w.Limits.GossipEvery)
	w.WakeAt(self.NextSend)
	self.HeartbeatAt = now
	forgetLoad(now, w)
	near, far, down := peers(w)
	chosen := choose(w, leastRecent(near, nearPeers), nearPeers)
	farPeers := 1 + w.Rand.IntN(2)
	if w.Limits.PlatformPushes {
		farPeers = pushedFar
	}
	chosen = append(chosen, choose(w, leastRecent(partners(w, far), max(nearPeers, farPeers)), farPeers)...)
	// One message to a host that is down each round lets both sides of a healed partition find each other.
	chosen = append(chosen, choose(w, down, 1)...)
	if len(chosen) > 0 {
		self.Heartbeat++
	}
	for _, h := range chosen {
		h.MessageSentAt = now
		send(w, h.ID, h.Address, compose(now, w, h))
	}
	if len(near)+len(far) == 0 {
		greetSeeds(w)
	}
	g.RoundChangeSeqs[g.Round%len(g.RoundChangeSeqs)] = w.ChangeSeq
	g.Round++
}

// welcome tells a host that has just started everything, so that it need not wait for its peers' turns.
// At 340 hosts and 600 backend servers this is below 150 KB.
func welcome(now time.Time, w *rocktable.World, to rocktable.PeerMessage) {
	m := Header(w)
	m.Reply = true
	for _, h := range w.Hosts.All() {
		if !h.Self && h.State != rocktable.StateDown && h.Name != to.Sender && len(m.Hosts) < welcomeRows {
			m.Hosts = append(m.Hosts, hostNews(w, h, true))
		}
	}
	for _, s := range w.Servers.All() {
		if s.StatusSeq > 0 && len(m.Servers) < welcomeRows {
			m.Servers = append(m.Servers, serverNews(w, s, true))
		}
	}
	for _, s := range w.Suspects.All() {
		if s.ChangeSeq != 0 && s.ExpiresAt.After(now) && len(m.Suspects) < welcomeRows {
			m.Suspects = append(m.Suspects, suspectNews(now, s))
		}
	}
	SendTo(w, to, m)
}

// greetSeeds sends this host's own row to the peers that the settings name, which answer with messages of their own once they know it.
func greetSeeds(w *rocktable.World) {
	for _, address := range w.SeedPeers {
		if address != w.SelfHost().Address {
			send(w, 0, address, Header(w))
		}
	}
}

func forgetLoad(now time.Time, w *rocktable.World) {
	for _, h := range w.Hosts.All() {
		if len(h.ReportedLoads)+len(h.ReportedDemands) > 0 && now.Sub(h.MessageReceivedAt) > loadKept {
			h.ReportedLoads, h.ReportedDemands = nil, nil
			w.Gossip.RecountPeerLoad = true
		}
		if len(h.ReportedWork) > 0 && now.Sub(h.MessageReceivedAt) > workKept {
			h.ReportedWork = nil
			w.Gossip.RecountPeerLoad = true
		}
	}
}

// peers returns the other hosts: those of the data centre, those of others, and those that are down.
func peers(w *rocktable.World) (near, far, down []*rocktable.Host) {
	dc := w.SelfHost().DataCentre
	for _, h := range w.Hosts.All() {
		switch {
		case h.Self || h.Address == "":
		case h.State == rocktable.StateDown:
			down = append(down, h)
		case h.DataCentre == dc:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	return near, far, down
}

// partners returns the hosts of other data centres that come first by rendezvous hashing; one that is down is replaced by the next.
func partners(w *rocktable.World, far []*rocktable.Host) []*rocktable.Host {
	if len(far) <= farPartners {
		return far
	}
	self := w.SelfHost().Name
	ranks := make(map[rocktable.HostID]uint64, len(far))
	for _, h := range far {
		ranks[h.ID] = Rendezvous(self, h.Name)
	}
	slices.SortFunc(far, func(a, b *rocktable.Host) int { return cmp.Compare(ranks[b.ID], ranks[a.ID]) })
	return far[:farPartners]
}

// leastRecent returns the hosts that got no message for the longest time, one more than a round tells.
// Choices among more leave some host without a message for several times the mean, and peers then take this host for
// down: with half of 33 hosts the longest time was 41 s, with a silence limit of 25 s.
func leastRecent(hosts []*rocktable.Host, n int) []*rocktable.Host {
	slices.SortStableFunc(hosts, func(a, b *rocktable.Host) int { return a.MessageSentAt.Compare(b.MessageSentAt) })
	return hosts[:min(len(hosts), n+1)]
}

// choose returns up to n random hosts, and reorders the slice.
func choose(w *rocktable.World, hosts []*rocktable.Host, n int) []*rocktable.Host {
	n = min(n, len(hosts))
	for i := range n {
		j := i + w.Rand.IntN(len(hosts)-i)
		hosts[i], hosts[j] = hosts[j], hosts[i]
	}
	return hosts[:n]
}

// SendUrgent tells peers at once of departures and of the end of this host's lease.
func SendUrgent(now time.Time, w *rocktable.World) {
	g := &w.Gossip
	if len(g.Departures) == 0 && !g.LeaseLost {
		return
	}
	if now.Before(g.NextUrgent) {
		w.WakeAt(g.NextUrgent)
		return
	}
	g.NextUrgent, g.LeaseLost = now.Add(urgentEvery), false
	news := g.Departures[:min(len(g.Departures), urgentRows)]
	g.Departures = slices.Clone(g.Departures[len(news):])
	if len(g.Departures) > 0 {
		w.WakeAt(g.NextUrgent)
	}
	m := Header(w)
	m.Reply = true
	for _, n := range news {
		if h := w.Hosts.Get(n.Host); h != nil && !h.Self {
			m.Hosts = append(m.Hosts, hostNews(w, h, false))
		}
		if s := w.Servers.Get(n.Server); s != nil {
			m.Servers = append(m.Servers, serverNews(w, s, false))
		}
	}
	near, far, _ := peers(w)
	for _, h := range append(choose(w, near, urgentNear), choose(w, partners(w, far), urgentFar)...) {
		send(w, h.ID, h.Address, m)
	}
}

// draft is a message that is filled up to its size.
type draft struct {
	rocktable.PeerMessage
	left    int
	hosts   map[rocktable.HostID]bool
	servers map[rocktable.BackendServerID]bool
}

// compose fills a message for a host: recent changes and demand first, then heartbeats and load, then the rest in turns.
func compose(now time.Time, w *rocktable.World, to *rocktable.Host) rocktable.PeerMessage {
	d := &draft{
		PeerMessage: Header(w),
		hosts:       map[rocktable.HostID]bool{w.Self: true, to.ID: true},
		servers:     make(map[rocktable.BackendServerID]bool),
	}
	d.left = messageBytes
	if w.Limits.PlatformPushes {
		d.left = pushedBytes
	}
	d.left -= headerBytes + len(d.Sender) + len(d.Address) + len(d.DataCentre) + len(d.Region)
	g := &w.Gossip
	floor := g.RoundChangeSeqs[g.Round%len(g.RoundChangeSeqs)]
	// One row with its address lets a host that started while the platform is out learn all backend servers.
	addTurns(w, d, 1, true)
	if !w.Limits.PlatformPushes {
		addWork(w, d)
	}
	addDepartures(now, w, d)
	addRecent(w, d, floor)
	addSuspects(now, w, d, floor)
	// Before the heartbeats, which fill the message of a large fleet: nothing else tells of demand.
	addDemand(now, w, d)
	if to.DataCentre == w.SelfHost().DataCentre {
		addHeartbeats(now, w, d, relayedNear, relayedFar)
	} else {
		addHeartbeats(now, w, d, relayedNearOut, relayedFarOut)
	}
	if w.Limits.PlatformPushes {
		addLoad(w, d) // every host gets the reports from the platform
		return d.PeerMessage
	}
	addOwn(w, d)
	addLoad(w, d)
	addTurns(w, d, w.Servers.Len(), false)
	return d.PeerMessage
}

// addDepartures adds backend servers that have just begun to leave to every message. Other changes follow a departure so
// fast that it drops out of the recent ones, and a peer that missed the urgent message would learn of it by chance only.
// The rows are whole, since a host that has just started knows no backend server while the platform is out.
func addDepartures(now time.Time, w *rocktable.World, d *draft) {
	var leaving []*rocktable.BackendServer
	for _, s := range w.Servers.All() {
		if s.State == rocktable.StateLeaving && now.Sub(s.LeavingSince) < departureFor {
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
	for _, h := range hosts[:min(len(hosts), recentHosts)] {
		d.addHost(w, h, true)
	}
	var servers []*rocktable.BackendServer
	for _, s := range w.Servers.All() {
		if s.ChangeSeq > floor && s.StatusSeq > 0 {
			servers = append(servers, s)
		}
	}
	slices.SortFunc(servers, func(a, b *rocktable.BackendServer) int { return cmp.Compare(b.ChangeSeq, a.ChangeSeq) })
	for _, s := range servers[:min(len(servers), recentServers)] {
		d.addServer(w, s, false)
	}
}

// addHeartbeats relays heartbeat numbers that were heard a short time ago, and one whole host row in turn.
func addHeartbeats(now time.Time, w *rocktable.World, d *draft, nearCount, farCount int) {
	near, far, _ := peers(w)
	for _, h := range append(leastRelayed(now, w, far, farCount), leastRelayed(now, w, near, nearCount)...) {
		d.addHost(w, h, false)
	}
	all, others, _ := peers(w)
	all = append(all, others...)
	if len(all) > 0 {
		d.addHost(w, all[w.Gossip.HostCursor%len(all)], true)
		w.Gossip.HostCursor++
	}
}

// leastRelayed returns hosts whose heartbeat numbers are new and were told to the fewest others, in random order among equals.
func leastRelayed(now time.Time, w *rocktable.World, hosts []*rocktable.Host, n int) []*rocktable.Host {
	hosts = slices.DeleteFunc(hosts, func(h *rocktable.Host) bool { return now.Sub(h.HeartbeatAt) > fresh })
	choose(w, hosts, len(hosts))
	slices.SortStableFunc(hosts, func(a, b *rocktable.Host) int { return cmp.Compare(a.HeartbeatRelays, b.HeartbeatRelays) })
	return hosts[:min(n, len(hosts))]
}

// addOwn adds backend servers that this host probes, in turns; no other host has newer reports of them.
func addOwn(w *rocktable.World, d *draft) {
	var own []*rocktable.BackendServer
	for _, s := range w.Servers.All() {
		if s.Probing && s.StatusSeq > 0 {
			own = append(own, s)
		}
	}
	for range min(len(own), ownServers) {
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
	for _, s := range used[:min(len(used), sentRows)] {
		if d.take(7 + len(s.Name)) {
			d.Loads = append(d.Loads, rocktable.LoadUpdate{Server: s.Name, InFlight: s.InFlight})
		}
	}
}

// addMemory adds the load at backend servers with the places and the memory that it takes.
func addMemory(d *draft, used []*rocktable.BackendServer) {
	for _, s := range used[:min(len(used), pushedRows)] {
		if d.take(14 + len(s.Name)) {
			d.Loads = append(d.Loads, rocktable.LoadUpdate{Server: s.Name, InFlight: s.InFlight, FirstStageInFlight: s.FirstStageInFlight, ReservedMemory: s.ReservedMemory})
		}
	}
}

// addDemand adds the largest demands of callers that have a limit, which is divided among hosts by demand.
func addDemand(now time.Time, w *rocktable.World, d *draft) {
	var asking []rocktable.DemandUpdate
	for _, c := range w.Callers.All() {
		if c.Config.TokensPerSecond <= 0 || c.Demand <= 0 {
			continue
		}
		if rate := rockadmit.DemandAt(now, c); rate >= leastDemand {
			asking = append(asking, rocktable.DemandUpdate{Caller: c.Config.Name, Rate: rate})
		}
	}
	slices.SortFunc(asking, func(a, b rocktable.DemandUpdate) int { return cmp.Compare(b.Rate, a.Rate) })
	for _, n := range asking[:min(len(asking), demandRows)] {
		if d.take(9 + len(n.Caller)) {
			d.Demands = append(d.Demands, n)
		}
	}
}

// addTurns adds up to n backend servers in turns, as many as there is room for.
func addTurns(w *rocktable.World, d *draft, n int, whole bool) {
	var all []*rocktable.BackendServer
	for _, s := range w.Servers.All() {
		if s.StatusSeq > 0 {
			all = append(all, s)
		}
	}
	for range min(n, len(all)) {
		if !d.addServer(w, all[w.Gossip.ServerCursor%len(all)], whole) {
			return
		}
		w.Gossip.ServerCursor++
	}
}

func (d *draft) take(size int) bool {
	if size > d.left {
		return false
	}
	d.left -= size
	return true
}

func (d *draft) addHost(w *rocktable.World, h *rocktable.Host, whole bool) {
	n := hostNews(w, h, whole)
	if d.hosts[h.ID] || !d.take(26+len(n.Name)+len(n.Address)+len(n.DataCentre)+len(n.Region)) {
		return
	}
	d.hosts[h.ID] = true
	h.HeartbeatRelays++
	d.Hosts = append(d.Hosts, n)
}

// addServer adds a row and reports whether there was room for it.
func (d *draft) addServer(w *rocktable.World, s *rocktable.BackendServer, whole bool) bool {
	if d.servers[s.ID] {
		return true
	}
	n := serverNews(w, s, whole)
	text := len(n.Name) + len(n.Address) + len(n.DataCentre) + len(n.Region)
	text += len(n.Status.Kind) + len(n.Status.Model) + len(n.Status.Version) + len(n.Status.State)
	if !d.take(58 + text) {
		return false
	}
	d.servers[s.ID] = true
	d.Servers = append(d.Servers, n)
	return true
}

// hostNews returns the news of a host; only whole news carries its address.
func hostNews(w *rocktable.World, h *rocktable.Host, whole bool) rocktable.HostUpdate {
	n := rocktable.HostUpdate{
		Name: h.Name, Incarnation: h.Incarnation, Heartbeat: h.Heartbeat, State: h.State, ConfigVersion: h.ConfigVersion,
	}
	if dc := w.DataCentres.Get(h.DataCentre); whole && dc != nil {
		n.Address, n.DataCentre, n.Region = h.Address, dc.Name, dc.Region
	}
	return n
}

func serverNews(w *rocktable.World, s *rocktable.BackendServer, whole bool) rocktable.ServerUpdate {
	n := rocktable.ServerUpdate{Name: s.Name, State: s.State, Drained: s.Drained, StatusSeq: s.StatusSeq, Status: s.Status}
	if dc := w.DataCentres.Get(s.DataCentre); whole && dc != nil {
		n.Address, n.DataCentre, n.Region, n.Role = s.Address, dc.Name, dc.Region, s.Role
	}
	return n
}
