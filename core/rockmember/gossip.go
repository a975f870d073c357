package rockmember

import (
	"cmp"
	"slices"
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// localPeers is the number of peers in this data centre that receive a message each round.
	localPeers = 3
	// remotePartners is the number of hosts in other data centres to which a host sends. The set stays the same,
	// because a handshake with mutual TLS costs about as much as the messages of one second.
	remotePartners = 8
	// urgentLocal and urgentRemote are the numbers of peers in this and in other data centres that receive a
	// departure at once. Each receiver forwards it once, so 4 local peers are enough to reach nearly all hosts in a
	// few steps.
	urgentLocal  = 4
	urgentRemote = 2
	// urgentEvery is the shortest time between two urgent reports of one host.
	urgentEvery = 200 * time.Millisecond
	// urgentRows limits the departures in one urgent report.
	urgentRows = 32
	// newHostHeartbeats is the heartbeat number up to which a host counts as just started.
	newHostHeartbeats = 4
	// fullStateRows limits the rows of each kind in the state that is sent to a host that has just started.
	fullStateRows = 2000
	// pushedRemotePeers replaces the random number of remote peers where the platform pushes reports. There each host has
	// to know the memory that all others have reserved at a backend server; otherwise the hosts together reserve too much.
	pushedRemotePeers = 5
)

// SelfMessage returns a message with this host's own state and no rows.
func SelfMessage(w *rocktable.World) rocktable.PeerMessage {
	h := w.SelfHost()
	dc := w.DataCentres.Get(h.DataCentre)
	return rocktable.PeerMessage{
		Sender: h.Name, Address: h.Address, DataCentre: dc.Name, Region: dc.Region,
		Incarnation: h.Incarnation, Heartbeat: h.Heartbeat, State: h.State,
		InFlight: w.Attempts.Len(), ConfigVersion: w.ConfigVersion, LostLeaseEra: w.Lease.LostEra, LostLeaseVersion: w.Lease.LostVersion,
		FollowsStore: w.Follow.Follows, StoreLost: w.Follow.StoreLost, StoreReached: w.Follow.StoreReached, Tables: w.TableNotices(),
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
	expirePeerLoad(now, w)
	local, remote, down := peers(w)
	chosen := choose(w, leastRecentlySent(local, localPeers), localPeers)
	remotePeers := 1 + w.Rand.IntN(2)
	if w.Limits.PlatformPushes {
		remotePeers = pushedRemotePeers
	}
	chosen = append(chosen, choose(w, leastRecentlySent(partners(w, remote), max(localPeers, remotePeers)), remotePeers)...)
	// One message in each round goes to a host that is down: this reconnects the two sides of a healed partition.
	chosen = append(chosen, choose(w, down, 1)...)
	if len(chosen) > 0 {
		self.Heartbeat++
	}
	for _, h := range chosen {
		h.MessageSentAt = now
		send(w, h.ID, h.Address, compose(now, w, h))
	}
	if len(local)+len(remote) == 0 {
		contactSeeds(w)
	}
	g.RoundChangeSeqs[g.Round%len(g.RoundChangeSeqs)] = w.ChangeSeq
	g.Round++
}

// sendFullState sends all rows to a host that has just started. It would otherwise wait until its peers have sent
// them in turn. At 340 hosts and 600 backend servers the message is below 150 KB.
func sendFullState(now time.Time, w *rocktable.World, to rocktable.PeerMessage) {
	m := SelfMessage(w)
	m.Reply, m.FullState = true, knowsState(now, w)
	for _, h := range w.Hosts.All() {
		if !h.Self && h.State != rocktable.StateDown && h.Name != to.Sender && len(m.Hosts) < fullStateRows {
			m.Hosts = append(m.Hosts, hostUpdate(w, h, true))
		}
	}
	for _, s := range w.Servers.All() {
		if s.StatusSeq > 0 && len(m.Servers) < fullStateRows {
			m.Servers = append(m.Servers, serverUpdate(w, s, true))
		}
	}
	for _, s := range w.Suspects.All() {
		if s.ChangeSeq != 0 && s.ExpiresAt.After(now) && len(m.Suspects) < fullStateRows {
			m.Suspects = append(m.Suspects, suspectUpdate(now, s))
		}
	}
	for _, p := range w.Parts.All() {
		if len(m.Parts) < fullStateRows {
			m.Parts = append(m.Parts, partUpdate(now, p))
		}
	}
	SendTo(w, to, m)
}

// contactSeeds sends this host's own state to the peers that the settings name. They send messages to it once they
// know it.
func contactSeeds(w *rocktable.World) {
	for _, address := range w.SeedPeers {
		if address != w.SelfHost().Address {
			send(w, 0, address, SelfMessage(w))
		}
	}
}

func expirePeerLoad(now time.Time, w *rocktable.World) {
	keepWork := workRetention(w)
	for _, h := range w.Hosts.All() {
		if len(h.ReportedLoads)+len(h.ReportedDemands) > 0 && now.Sub(h.LoadReportedAt) > loadRetention {
			h.ReportedLoads, h.ReportedDemands = nil, nil
			w.Gossip.RecountPeerLoad = true
		}
		if len(h.ReportedWork) > 0 && now.Sub(h.WorkReportedAt) > keepWork {
			h.ReportedWork = nil
			w.Gossip.RecountPeerLoad = true
		}
	}
}

// peers returns the other hosts: those of this data centre, those of other data centres, and those that are down.
func peers(w *rocktable.World) (local, remote, down []*rocktable.Host) {
	dc := w.SelfHost().DataCentre
	for _, h := range w.Hosts.All() {
		switch {
		case h.Self || h.Address == "":
		case h.State == rocktable.StateDown:
			down = append(down, h)
		case h.DataCentre == dc:
			local = append(local, h)
		default:
			remote = append(remote, h)
		}
	}
	return local, remote, down
}

// partners returns the remotePartners hosts of other data centres with the highest rendezvous hash. A host that goes
// down is replaced by the next one.
func partners(w *rocktable.World, remote []*rocktable.Host) []*rocktable.Host {
	if len(remote) <= remotePartners {
		return remote
	}
	self := w.SelfHost().Name
	ranks := make(map[rocktable.HostID]uint64, len(remote))
	for _, h := range remote {
		ranks[h.ID] = RendezvousHash(self, h.Name)
	}
	slices.SortFunc(remote, func(a, b *rocktable.Host) int { return cmp.Compare(ranks[b.ID], ranks[a.ID]) })
	return remote[:remotePartners]
}

// leastRecentlySent returns the n+1 hosts to which this host has not sent for the longest time, where n is the number
// of messages in a round. A random choice among more hosts leaves some of them without a message for several times
// the mean, and they then take this host for down: with a choice among half of 33 hosts the longest time was 41 s,
// and the silence limit 25 s.
func leastRecentlySent(hosts []*rocktable.Host, n int) []*rocktable.Host {
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

// SendUrgent reports departures and the end of this host's lease to peers without waiting for the next round.
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
	departures := g.Departures[:min(len(g.Departures), urgentRows)]
	g.Departures = slices.Clone(g.Departures[len(departures):])
	if len(g.Departures) > 0 {
		w.WakeAt(g.NextUrgent)
	}
	m := SelfMessage(w)
	m.Reply = true
	for _, d := range departures {
		if h := w.Hosts.Get(d.Host); h != nil && !h.Self {
			m.Hosts = append(m.Hosts, hostUpdate(w, h, false))
		}
		if s := w.Servers.Get(d.Server); s != nil {
			m.Servers = append(m.Servers, serverUpdate(w, s, false))
		}
	}
	local, remote, _ := peers(w)
	for _, h := range append(choose(w, local, urgentLocal), choose(w, partners(w, remote), urgentRemote)...) {
		send(w, h.ID, h.Address, m)
	}
}
