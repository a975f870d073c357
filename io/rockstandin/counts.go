package rockstandin

// Counts are the witnesses of what ran.
type Counts struct {
	Requests map[string]RequestCount `json:"requests"` // by request
	Runs     map[string]int          `json:"runs"`     // application runs by idempotency key
	Engines  map[string]EngineCount  `json:"engines"`  // by name
	Servers  map[string]ServerCount  `json:"servers"`  // by name
	Platform PlatformCount           `json:"platform"`
}

// RequestCount counts what engines did for one request.
type RequestCount struct {
	Sessions  int `json:"sessions"`  // sessions started
	Steps     int `json:"steps"`     // steps run
	Positions int `json:"positions"` // positions run or taken from a prefix cache
}

// EngineCount counts what one engine did.
type EngineCount struct {
	Sessions          int   `json:"sessions"`
	RefusedSessions   int   `json:"refused"` // sessions
	CanceledSteps     int   `json:"canceled"`
	Batches           int   `json:"batches"`
	Steps             int   `json:"steps"`
	RefusedSteps      int   `json:"refusedSteps"`
	Resumed           int   `json:"resumed"`   // sessions
	RetriedSteps      int   `json:"repeated"`  // steps that were asked for again and not run again
	ExpiredSessions   int   `json:"forgotten"` // sessions whose stream was lost and that nobody resumed
	Positions         int   `json:"positions"` // run, not taken from the prefix cache
	LeavingSessions   int   `json:"leavingSessions"`
	LastLeavingMs     int64 `json:"lastLeavingMs"` // from the begin of FaultLeaving to the last session started
	Orders            int   `json:"orders"`
	FencedOrders      int   `json:"fencedOrders"`
	OldOrders         int   `json:"oldOrders"` // taken although a higher fencing number was seen
	OverlappingOrders int   `json:"overlappingOrders"`
}

// ServerCount counts the starts and crashes of one server.
type ServerCount struct {
	Incarnation uint64 `json:"incarnation"`
	Crashes     int    `json:"crashes"` // not those by FaultKill and FaultRestart
	Down        bool   `json:"down"`
}

// PlatformCount counts the operations of the table service.
type PlatformCount struct {
	Reads     int `json:"reads"`
	Writes    int `json:"writes"`
	Conflicts int `json:"conflicts"`
	Limited   int `json:"limited"` // refused over the limit of operations per second
	ListReads int `json:"listReads"`
}

func countsOf(w *World) Counts {
	c := Counts{
		Requests: make(map[string]RequestCount, w.Requests.Len()),
		Runs:     make(map[string]int, w.Runs.Len()),
		Engines:  make(map[string]EngineCount, w.Engines.Len()),
		Servers:  make(map[string]ServerCount, w.Servers.Len()),
		Platform: w.Platform.Count,
	}
	for key, row := range w.Requests.All() {
		c.Requests[key] = *row
	}
	for key, row := range w.Runs.All() {
		c.Runs[key] = *row
	}
	for key, row := range w.Engines.All() {
		c.Engines[key] = row.Count
	}
	for key, row := range w.Servers.All() {
		c.Servers[key] = ServerCount{Incarnation: row.Incarnation, Crashes: row.Crashes, Down: row.Down}
	}
	return c
}
