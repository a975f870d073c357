package rockfleet

import (
	"slices"
	"strings"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
)

// hostTick is the least time between two ticks of a host.
const hostTick = 2 * time.Millisecond

func runHosts(f *Fleet) {
	if f.Since()%hostTick != 0 {
		return
	}
	for i, h := range f.Hosts {
		if f.Since() < f.Options.Hosts[i].From {
			continue
		}
		if h.isDue(f.Now) {
			f.tick(i, h)
		}
	}
}

func (h *Host) isDue(now time.Time) bool {
	in := &h.Inbox
	events := len(in.Arrivals) + len(in.Progress) + len(in.Ended) + len(in.Probes) + len(in.HostLists) +
		len(in.Peers) + len(in.ConfigResults) + len(in.LeaseResults) + len(in.OrdersEnded)
	return events > 0 || !h.Wake.After(now)
}

func (f *Fleet) tick(i int, h *Host) {
	h.W.Inbox, h.Inbox = h.Inbox, rocktable.Inbox{}
	result := rocktick.RunSystems(f.Now, h.W, f.Options.Systems)
	for _, v := range result.Violations {
		f.fail("%s at %s: invariant %s: %w", h.Name, f.Since(), v.Invariant, v.Err)
	}
	h.Wake = result.Wake
	if h.Wake.IsZero() {
		h.Wake = f.Now.Add(time.Hour)
	}
	f.carry(i, h, &result.Outbox)
}

func (f *Fleet) carry(i int, h *Host, out *rocktable.Outbox) {
	for _, a := range out.Answers {
		f.takeAnswer(i, a)
	}
	for _, c := range out.Cancels {
		if run := f.Runs.Get(RunKey{Host: i, Attempt: c.Attempt}); run != nil {
			f.closeRun(run)
		}
	}
	for _, s := range out.Starts {
		f.startRun(i, s)
	}
	for _, p := range out.Probes {
		f.probe(h, p)
	}
	for _, s := range out.PeerSends {
		f.sendPeer(h, s)
	}
	f.carryPlatform(h, out)
}

func (f *Fleet) takeAnswer(host int, a rocktable.Answer) {
	key := StreamKey{Host: host, Request: a.Request}
	s := f.Streams.Get(key)
	answer := Answer{
		At: f.Since(), Reason: a.Reason, MayHaveRun: a.MayHaveRun, LargestGap: s.Largest,
		Tokens: s.Tokens, Attempts: a.Outcome.Attempts,
	}
	if !s.First.IsZero() {
		answer.FirstToken = s.First.Sub(Epoch.Add(f.Options.Load[s.Ask].At))
	}
	f.Answers[s.Ask] = answer
	f.Streams.Delete(key)
}

func (f *Fleet) probe(h *Host, p rocktable.Probe) {
	e := f.Engines.Get(strings.TrimSuffix(p.Address, addressSuffix))
	d, ok := f.link(h, e)
	if !ok || e.Down {
		// A probe of the daemon ends by its timeout.
		f.after(500*time.Millisecond, func(*Fleet) {
			h.Inbox.Probes = append(h.Inbox.Probes, rocktable.ProbeResult{Server: p.Server})
		})
		return
	}
	f.after(2*d, func(f *Fleet) {
		h.Inbox.Probes = append(h.Inbox.Probes, rocktable.ProbeResult{Server: p.Server, OK: true, Status: e.status(f), RoundTrip: 2 * d})
	})
}

func (f *Fleet) sendPeer(from *Host, s rocktable.PeerSend) {
	for _, to := range f.Hosts {
		if to.Name+addressSuffix != s.Address || !f.passes(from.DataCentre, to.DataCentre) {
			continue
		}
		f.after(f.Options.Links(from.DataCentre, to.DataCentre), func(*Fleet) {
			to.Inbox.Peers = append(to.Inbox.Peers, s.Message)
		})
	}
}

// carryPlatform plays the platform's list and table service, which answer at once.
func (f *Fleet) carryPlatform(h *Host, out *rocktable.Outbox) {
	in := &h.Inbox
	for range out.ListReads {
		in.HostLists = append(in.HostLists, rocktable.HostList{OK: true, Entries: slices.Clone(f.list)})
	}
	for _, op := range out.ConfigOps {
		in.ConfigResults = append(in.ConfigResults, rocktable.TableResult[rocktable.ConfigRow]{
			Op: op.Op, Key: op.Key, Found: true, Version: 1, Row: rocktable.ConfigRow{ChangeID: "first", Configuration: f.configuration()},
		})
	}
	for _, op := range out.LeaseOps {
		in.LeaseResults = append(in.LeaseResults, f.leaseOp(op))
	}
}

func (f *Fleet) leaseOp(op rocktable.TableOp[rocktable.LeaseRow]) rocktable.TableResult[rocktable.LeaseRow] {
	r := f.lease[op.Key]
	r.Op, r.Key, r.Write = op.Op, op.Key, op.Write
	switch {
	case !op.Write:
	case r.Version != op.Expected:
		r.Status = rocktable.TableConflict
	default:
		f.version++
		r.Found, r.Version, r.Row = true, f.version, op.Row
		f.lease[op.Key] = r
	}
	return r
}

func (f *Fleet) configuration() rocktable.Configuration {
	return rocktable.Configuration{
		Ranks: f.Options.Ranks, Callers: f.Options.Callers,
		Pipelines: []rocktable.PipelineConfig{{Name: pipeline, Model: model, Version: "1", Layers: f.Options.Layers}},
	}
}
