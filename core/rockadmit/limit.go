package rockadmit

import (
	"math"
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// demandWindow is the time constant of a caller's smoothed demand.
	demandWindow = 5 * time.Second
	// defaultBurstTime sets the burst of a caller whose configuration names none: the tokens of this time at the
	// caller's rate.
	defaultBurstTime = 10 * time.Second
	// minShareFraction is the fraction of an even share that a host always keeps. Without it, a caller that changes
	// hosts would be refused until its demand at the new host has become known.
	minShareFraction = 0.1
)

// HostCount returns the number of hosts among which the callers' limits are divided. Hosts that do not answer count
// while the platform lists them, which keeps each side of a partition to its share.
func HostCount(w *rocktable.World) int {
	n := 0
	for _, h := range w.Hosts.All() {
		if h.State == rocktable.StateLive || h.Listed && h.State != rocktable.StateLeaving {
			n++
		}
	}
	return max(n, 1)
}

// LimitFraction returns the fraction of a caller's limit that this host may use, from 0 to 1.
func LimitFraction(c *rocktable.Caller, hosts int) float64 {
	even := 1 / float64(max(hosts, 1))
	if c.PeerDemand <= 0 {
		return even
	}
	return max(c.Demand/(c.Demand+c.PeerDemand), minShareFraction*even)
}

// DemandAt returns the smoothed demand of a caller at this host, in tokens per second. It decays when the caller
// sends no more requests.
func DemandAt(now time.Time, c *rocktable.Caller) float64 {
	dt := max(0, now.Sub(c.DemandAt))
	return c.Demand * math.Exp(-dt.Seconds()/demandWindow.Seconds())
}

// addDemand adds an arrival to the smoothed demand of a caller.
func addDemand(now time.Time, c *rocktable.Caller, tokens float64) {
	c.Demand = DemandAt(now, c) + tokens/demandWindow.Seconds()
	c.DemandAt = now
}

// spendTokens takes tokens from the caller's bucket, or returns the time after which the caller may retry.
// A bucket may go below zero. Otherwise a request larger than the burst would always be refused.
func spendTokens(now time.Time, c *rocktable.Caller, tokens float64, hosts int) (time.Duration, bool) {
	if c.Config.TokensPerSecond <= 0 {
		return 0, true
	}
	fraction := LimitFraction(c, hosts)
	rate := c.Config.TokensPerSecond * fraction
	burst := c.Config.Burst * fraction
	if burst == 0 {
		burst = rate * defaultBurstTime.Seconds()
	}
	if c.BucketAt.IsZero() {
		c.BucketTokens, c.BucketAt = burst, now
	}
	c.BucketTokens = min(burst, c.BucketTokens+rate*now.Sub(c.BucketAt).Seconds())
	c.BucketAt = now
	if c.BucketTokens <= 0 {
		return time.Duration((1 - c.BucketTokens) / rate * float64(time.Second)), false
	}
	c.BucketTokens -= tokens
	return 0, true
}
