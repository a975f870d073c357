package rocktable

import "time"

// Caller is an organisation that sends requests.
type Caller struct {
	ID           CallerID
	Config       CallerConfig
	RemovedAt    time.Time // when a configuration without it was activated; zero while it is configured
	BucketTokens float64   // left in the token bucket; may be negative
	BucketAt     time.Time
	Demand       float64 // tokens per second requested from this host, smoothed
	PeerDemand   float64 // tokens per second, as last reported by peers
	RetryBudget  float64 // retries earned less retries used; rockretry adds an allowance
	DemandAt     time.Time
}

// Share holds the service that one caller received in one rank, and its queued requests.
type Share struct {
	WeightedTokens float64 // tokens served, divided by the caller's weight
	Waiting        int     // queued requests
	QueuedTokens   float64
	HeaviestIndex  int // position in Rank.Heaviest plus one; 0 when absent
	Lines          []Line
}

// Line is the queue of one caller in one lane.
type Line struct {
	Pipeline  PipelineID
	Queue     []RequestID // in order of arrival; entries of requests that left the queue are skipped
	Waiting   int
	HeapIndex int // position in Lane.Callers plus one; 0 when absent
}

// ShareKey identifies the share of a caller in a rank.
type ShareKey struct {
	Rank   RankID
	Caller CallerID
}

// Lane holds the queued requests of one rank for one pipeline. Floors and expected waits apply to each lane, because
// pipelines use different backend servers.
type Lane struct {
	Waiting         int
	QueuedTokens    float64
	StartedTokens   float64     // decaying over the floor window
	StartedTokensAt time.Time   // last decay of StartedTokens
	Callers         []CallerID  // heap of callers with queued requests, lowest Share.WeightedTokens first
	FrontQueue      []RequestID // requeued requests and suspects, which take precedence over the callers' lines
}

// LaneKey identifies a lane.
type LaneKey struct {
	Rank     RankID
	Pipeline PipelineID
}

// Rank is a class of work with latency targets and a worth.
type Rank struct {
	ID                  RankID
	Config              RankConfig
	Position            int         // in the configuration, or in the last one that had it; 0 is the most urgent
	RemovedAt           time.Time   // when a configuration without it was activated; zero while it is configured
	Waiting             int         // queued requests
	WeightedTokensFloor float64     // highest Share.WeightedTokens at a start; returning callers begin there if none waits
	Heaviest            []CallerID  // heap of callers with queued requests, most requests first
	ByArrival           []RequestID // requests in order of arrival, to find those that waited too long
}

// Tally counts the outcomes of one caller's requests in one rank.
type Tally struct {
	Answered     int // complete answers
	WithinTarget int // complete answers that met the target
	Refused      int // rejected without having run
	Failed       int // neither answered completely nor refused
	Tokens       int
}
