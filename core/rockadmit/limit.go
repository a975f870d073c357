package rockadmit

import (
	"math"
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// demandWindow is the time constant of a caller's demand.
	demandWindow = 5 * time.Second
	// defaultBurst is the time for which a caller may save its limit if its configuration names no burst.
	defaultBurst = 10 * time.Second
	// leastShare is the part of an even share that a host always keeps, so that a caller that changes hosts is not refused while demand spreads.
	leastShare = 0.1
)

// HostCount returns the number of hosts among which limits are divided. Hosts that do not answer count while the platform lists them, so that both sides of a partition keep to their part.
func HostCount(w *rocktable.World) int {
	n := 0
	for _, h := range w.Hosts.All() {
		if h.State == rocktable.StateLive || h.Listed && h.State != rocktable.StateLeaving {
			n++
		}
	}
	return max(n, 1)
}

// LimitPart returns the part of a caller's limit that this host may use, from 0 to 1.
func LimitPart(c *rocktable.Caller, hosts int) float64 {
	even := 1 / float64(max(hosts, 1))
	if c.PeerDemand <= 0 {
		return even
	}
	return max(c.Demand/(c.Demand+c.PeerDemand), leastShare*even)
}

// DemandAt returns the smoothed demand of a caller at this host, in tokens per second; a caller that stopped asking fades out.
func DemandAt(now time.Time, c *rocktable.Caller) float64 {
	dt := max(0, now.Sub(c.DemandAt))
	return c.Demand * math.Exp(-dt.Seconds()/demandWindow.Seconds())
}

// addDemand adds an arrival to the smoothed demand of a caller.
func addDemand(now time.Time, c *rocktable.Caller, tokens float64) {
	c.Demand = DemandAt(now, c) + tokens/demandWindow.Seconds()
	c.DemandAt = now
}

// spend takes tokens from the caller's bucket, or returns the time after which it may try again.
// A bucket may go below zero, so that a request larger than the burst is not refused for ever.
func spend(now time.Time, c *rocktable.Caller, tokens float64, hosts int) (time.Duration, bool) {
	if c.Config.TokensPerSecond <= 0 {
		return 0, true
	}
	part := LimitPart(c, hosts)
	rate := c.Config.TokensPerSecond * part
	burst := c.Config.Burst * part
	if burst == 0 {
		burst = rate * defaultBurst.Seconds()
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
