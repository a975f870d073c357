package rockplatform

import "time"

const (
	// idlePollsPerSecond limits the calls that all hosts together make to one feed while its table does
	// not change. Each call has a cost, and a fixed rate per host would let the total grow with the
	// number of hosts.
	idlePollsPerSecond = 4
	// maxWait bounds the wait of one call, because a connection that has stopped responding is only
	// detected when the wait is over.
	maxWait = 25 * time.Second
)

// FeedWait returns how long one call to a feed waits for a change of its table, if the given number of
// hosts read the feed. The wait grows with the number of hosts, from minWait to maxWait.
func FeedWait(minWait time.Duration, hosts int) time.Duration {
	return max(minWait, min(maxWait, time.Duration(hosts)*time.Second/idlePollsPerSecond))
}
