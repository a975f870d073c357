package rocktable

import "time"

// Caller is an organisation that sends requests.
type Caller struct {
	ID           CallerID
	Config       CallerConfig
	BucketTokens float64 // tokens that may be admitted now
	BucketAt     time.Time
	Demand       float64 // tokens per second asked of this host, smoothed
	PeerDemand   float64 // tokens per second asked of peers, as they told
	RetryBudget  float64 // retries earned less retries used; rockretry adds an allowance
	DemandAt     time.Time
}

// Share holds the service that one caller got in one rank, and its waiting requests.
type Share struct {
	WeightedTokens float64 // tokens divided by the caller's weight
	Waiting        int     // queued requests
	QueuedTokens   float64 // tokens of queued requests
	HeaviestIndex  int     // position in Rank.Heaviest plus one; 0 when absent
	Lines          []Line
}

// Line is the queue of one caller in one lane.
type Line struct {
	Pipeline  PipelineID
	Queue     []RequestID // in order of arrival; entries of requests that left are skipped
	Waiting   int
	HeapIndex int // position in Lane.Callers plus one; 0 when absent
}

// ShareKey identifies the share of a caller in a rank.
type ShareKey struct {
	Rank   RankID
	Caller CallerID
}

// Lane is the waiting work of one rank for one pipeline. Pipelines use different backend servers, so that floors and expected waits apply to each lane.
type Lane struct {
	Waiting         int
	QueuedTokens    float64     // tokens of queued requests
	StartedTokens   float64     // tokens started, decaying over the floor window
	StartedTokensAt time.Time   // time of the last decay
	Callers         []CallerID  // heap of callers with waiting requests, fewest tokens served first
	FrontQueue      []RequestID // requeued requests and suspects, which go before the callers' lines
}

// LaneKey identifies a lane.
type LaneKey struct {
	Rank     RankID
	Pipeline PipelineID
}

// Rank is a class of work with a target and a worth.
type Rank struct {
	ID                  RankID
	Config              RankConfig
	Waiting             int         // queued requests
	WeightedTokensFloor float64     // highest counter of a caller that was chosen; the floor for callers that return when nobody waits
	Heaviest            []CallerID  // heap of callers with waiting requests, most requests first
	ByArrival           []RequestID // requests in order of arrival, to find those that waited too long
}

// Tally counts outcomes of one caller in one rank.
type Tally struct {
	Answered     int // whole answers
	WithinTarget int // whole answers within the target
	Refused      int // not run
	Failed       int // neither whole nor refused
	Tokens       int
}
