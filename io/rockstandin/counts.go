package rockstandin

// Counts records the work that the stand-in executed, independently of what the router reports.
type Counts struct {
	Requests map[string]RequestCount `json:"requests"` // by request ID
	Runs     map[string]int          `json:"runs"`     // executions of application calls by idempotency key
	Engines  map[string]EngineCount  `json:"engines"`  // by name
	Servers  map[string]ServerCount  `json:"servers"`  // by name
	Platform PlatformCount           `json:"platform"`
}

// RequestCount counts the work of all engines for one request.
type RequestCount struct {
	Sessions  int `json:"sessions"`  // sessions started
	Steps     int `json:"steps"`     // steps completed
	Positions int `json:"positions"` // positions computed or taken from a prefix cache
}

// EngineCount counts the work of one engine.
type EngineCount struct {
	Sessions          int   `json:"sessions"`
	RefusedSessions   int   `json:"refused"`
	CanceledSteps     int   `json:"canceled"`
	Batches           int   `json:"batches"`
	Steps             int   `json:"steps"`
	RefusedSteps      int   `json:"refusedSteps"`
	ResumedSessions   int   `json:"resumed"`   // sessions
	RetriedSteps      int   `json:"repeated"`  // steps received again and answered without another execution
	ExpiredSessions   int   `json:"forgotten"` // sessions that lost their stream and were not resumed in time
	Positions         int   `json:"positions"` // positions computed, not those taken from the prefix cache
	LeavingSessions   int   `json:"leavingSessions"`
	LastLeavingMs     int64 `json:"lastLeavingMs"` // from the start of FaultLeaving to the last session opened
	Orders            int   `json:"orders"`
	FencedOrders      int   `json:"fencedOrders"`
	StaleOrders       int   `json:"oldOrders"` // accepted although a higher fencing number had been received
	OverlappingOrders int   `json:"overlappingOrders"`
}

// ServerCount counts the starts and crashes of one server.
type ServerCount struct {
	Incarnation uint64 `json:"incarnation"`
	Crashes     int    `json:"crashes"` // excluding stops by FaultKill and FaultRestart
	Down        bool   `json:"down"`
}

// PlatformCount counts the operations of the table service and the reads of the host list.
type PlatformCount struct {
	Reads       int `json:"reads"`
	Writes      int `json:"writes"`
	Conflicts   int `json:"conflicts"`
	RateLimited int `json:"limited"` // operations refused over the rate limit
	ListReads   int `json:"listReads"`
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
