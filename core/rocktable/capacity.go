package rocktable

import "time"

// Capacity is the room that the backend servers of a pipeline have for requests, as this host knows it.
type Capacity struct {
	UpdatedAt    time.Time
	UsedFraction float64   // of the usable memory of the layer with the least room, over all data centres
	RefusedAt    time.Time // last time that a backend server refused a request of this host for lack of room
	ShortSince   time.Time // since when room is short; zero while it is not
}

// CentreLoadKey identifies the load that the hosts of a data centre place on a backend server.
type CentreLoadKey struct {
	DataCentre DataCentreID
	Server     BackendServerID
}

// CentreLoad is the load that the hosts of a data centre together place on a backend server.
type CentreLoad struct {
	InFlight           int
	FirstStageInFlight int     // attempts that have it as their first stage
	ReservedMemory     float64 // tokens x layers
}

// RankLoadKey identifies the work of one rank for one pipeline in a data centre.
type RankLoadKey struct {
	DataCentre DataCentreID
	Pipeline   PipelineID
	Rank       RankID
}

// RankLoad is the work of one rank for one pipeline that the hosts of a data centre together have.
type RankLoad struct {
	ArrivedTokens float64 // per second
	RefusedTokens float64 // per second
	WaitingTokens float64
}

// CentreReport tells how old the sums of a data centre are, and on how many hosts they rest.
type CentreReport struct {
	ReportedAt time.Time
	Reporter   string // host that added them up
	Hosts      int
}

// CentreUpdate reports the sums of a data centre.
type CentreUpdate struct {
	DataCentre string
	Hosts      int
	Loads      []LoadUpdate
	Ranks      []RankLoadUpdate
}

// RankLoadUpdate reports the work of one rank for one pipeline.
type RankLoadUpdate struct {
	Pipeline      string
	Rank          string
	ArrivedTokens float64 // per second
	RefusedTokens float64 // per second
	WaitingTokens float64
}
