package rocktable

import "time"

// Limits are the settings of one host that affect its decisions.
type Limits struct {
	MaxRequests   int           // requests and calls held at the same time
	OutcomeBytes  int64         // bytes of answers to calls that are held until they are recorded
	HostListEvery time.Duration // between reads of the platform's list
	ConfigEvery   time.Duration // between reads of the configuration row
	ProbeEvery    time.Duration // between probes of one backend server
	GossipEvery   time.Duration // between messages to peers
	HostTimeout   time.Duration // silence after which a host counts as down; longer in large fleets
	LeaveLimit    time.Duration // from the first report that a backend server leaves to its last new work
	LeaseTTL      time.Duration
	OrderTimeout  time.Duration // longest time that an order may be in flight
	RetryWindow   time.Duration // of the retry budget that all hosts share; 0 disables the budget
	RetryRatio    float64       // retries for each request in the window, over all hosts
	RetryBurst    float64       // additional retries in the window, over all hosts
	OverloadRetry time.Duration // least Retry-After of refusals due to load; 0 leaves the default of rockoutcome
	// RankReserve is the fraction of a backend server's capacity that a rank without worth leaves to the most urgent one
	// while capacity is short; 0 keeps none.
	RankReserve    float64
	DrainNotice    time.Duration // from the signal to stop until requests are refused, for slow load balancers
	StopGrace      time.Duration // from the signal to stop until the process is ended from outside; 0 if it never is
	PlatformPushes bool          // the platform pushes its list and the configuration, so neither is read
}

// DefaultLimits returns the limits of a host whose settings name none.
func DefaultLimits() Limits {
	return Limits{
		MaxRequests:   20000,
		OutcomeBytes:  8 << 20,
		HostListEvery: 2 * time.Second,
		ConfigEvery:   5 * time.Second,
		ProbeEvery:    500 * time.Millisecond,
		GossipEvery:   time.Second,
		HostTimeout:   8 * time.Second,
		LeaveLimit:    3 * time.Second,
		LeaseTTL:      15 * time.Second,
		OrderTimeout:  5 * time.Second,
	}
}
