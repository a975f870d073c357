package rockfleet

import (
	"slices"
	"strings"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
)

// hostTickInterval is the minimum time between two ticks of a host.
const hostTickInterval = 2 * time.Millisecond

func runHosts(f *Fleet) {
	if f.Since()%hostTickInterval != 0 {
		return
	}
	for i, h := range f.Hosts {
		if f.Since() < f.Options.Hosts[i].StartAt {
			continue
		}
		if h.isDue(f.Now) {
			f.tickHost(i, h)
		}
	}
}

func (h *Host) isDue(now time.Time) bool {
	in := &h.Inbox
	events := len(in.Arrivals) + len(in.Progress) + len(in.AttemptsEnded) + len(in.Probes) + len(in.HostLists) +
		len(in.Peers) + len(in.ConfigResults) + len(in.LeaseResults) + len(in.OrdersEnded)
	return events > 0 || !h.NextTick.After(now)
}

func (f *Fleet) tickHost(i int, h *Host) {
	h.World.Inbox, h.Inbox = h.Inbox, rocktable.Inbox{}
	result := rocktick.RunSystems(f.Now, h.World, f.Options.Systems)
	for _, v := range result.Violations {
		f.recordViolation("%s at %s: invariant %s: %w", h.Name, f.Since(), v.Invariant, v.Err)
	}
	h.NextTick = result.Wake
	if h.NextTick.IsZero() {
		h.NextTick = f.Now.Add(time.Hour)
	}
	f.dispatch(i, h, &result.Outbox)
}

func (f *Fleet) dispatch(i int, h *Host, out *rocktable.Outbox) {
	for _, a := range out.Answers {
		f.recordAnswer(i, a)
	}
	for _, c := range out.Cancels {
		if attempt := f.Attempts.Get(AttemptKey{Host: i, Attempt: c.Attempt}); attempt != nil {
			f.cancelAttempt(attempt, c)
		}
	}
	for _, s := range out.Starts {
		f.startAttempt(i, s)
	}
	for _, p := range out.Probes {
		f.probe(h, p)
	}
	for _, s := range out.PeerSends {
		f.sendToPeer(h, s)
	}
	f.runPlatformOps(h, out)
}

func (f *Fleet) recordAnswer(host int, a rocktable.Answer) {
	key := StreamKey{Host: host, Request: a.Request}
	s := f.Streams.Get(key)
	answer := Answer{
		At: f.Since(), Reason: a.Reason, MayHaveRun: a.MayHaveRun, LargestGap: s.LargestGap,
		Tokens: s.Tokens, Attempts: a.Outcome.Attempts,
	}
	if !s.FirstTokenAt.IsZero() {
		answer.FirstTokenDelay = s.FirstTokenAt.Sub(Epoch.Add(f.Options.Requests[s.RequestIndex].At))
	}
	f.Answers[s.RequestIndex] = answer
	f.Streams.Delete(key)
}

func (f *Fleet) probe(h *Host, p rocktable.Probe) {
	e := f.Engines.Get(strings.TrimSuffix(p.Address, addressSuffix))
	d, ok := f.link(h, e)
	if !ok || e.Down {
		// A failed probe is reported after a timeout, as in the daemon.
		f.deliverAfter(500*time.Millisecond, func(*Fleet) {
			h.Inbox.Probes = append(h.Inbox.Probes, rocktable.ProbeResult{Server: p.Server})
		})
		return
	}
	f.deliverAfter(2*d, func(f *Fleet) {
		h.Inbox.Probes = append(h.Inbox.Probes, rocktable.ProbeResult{Server: p.Server, OK: true, Status: e.status(f), RoundTrip: 2 * d})
	})
}

func (f *Fleet) sendToPeer(from *Host, s rocktable.PeerSend) {
	for _, to := range f.Hosts {
		if to.Name+addressSuffix != s.Address || !f.isReachable(from.DataCentre, to.DataCentre) {
			continue
		}
		f.deliverAfter(f.Options.LinkDelay(from.DataCentre, to.DataCentre), func(*Fleet) {
			to.Inbox.Peers = append(to.Inbox.Peers, s.Message)
		})
	}
}

// runPlatformOps simulates the platform's host list and table service, which answer without delay.
func (f *Fleet) runPlatformOps(h *Host, out *rocktable.Outbox) {
	in := &h.Inbox
	for range out.ListReads {
		in.HostLists = append(in.HostLists, rocktable.HostList{OK: true, Entries: slices.Clone(f.hostList)})
	}
	for _, op := range out.ConfigOps {
		in.ConfigResults = append(in.ConfigResults, rocktable.TableResult[rocktable.ConfigRow]{
			Op: op.Op, Key: op.Key, Found: true, Version: 1, Row: rocktable.ConfigRow{ChangeID: "first", Configuration: f.configuration()},
		})
	}
	for _, op := range out.LeaseOps {
		in.LeaseResults = append(in.LeaseResults, f.runLeaseOp(op))
	}
}

func (f *Fleet) runLeaseOp(op rocktable.TableOp[rocktable.LeaseRow]) rocktable.TableResult[rocktable.LeaseRow] {
	r := f.leaseRows[op.Key]
	r.Op, r.Key, r.Write = op.Op, op.Key, op.Write
	switch {
	case !op.Write:
	case r.Version != op.Expected:
		r.Status = rocktable.TableConflict
	default:
		f.leaseVersion++
		r.Found, r.Version, r.Row = true, f.leaseVersion, op.Row
		f.leaseRows[op.Key] = r
	}
	return r
}

func (f *Fleet) configuration() rocktable.Configuration {
	return rocktable.Configuration{
		Ranks: f.Options.Ranks, Callers: f.Options.Callers,
		Pipelines: []rocktable.PipelineConfig{{Name: pipeline, Model: model, Version: "1", Layers: f.Options.Layers}},
	}
}
