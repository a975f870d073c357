package rockreason

// The codes of all reasons.
const (
	Unauthorized      Code = "unauthorized"
	RankNotAllowed    Code = "rankNotAllowed"
	HeadTooLong       Code = "headTooLong"
	BodyTooLong       Code = "bodyTooLong"
	BrokenBody        Code = "brokenBody"
	RequestTooSlow    Code = "requestTooSlow"
	BadJSON           Code = "badJSON"
	BadField          Code = "badField"
	BadTarget         Code = "badTarget"
	UnknownModel      Code = "unknownModel"
	PipelineRemoved   Code = "pipelineRemoved"
	UnknownRank       Code = "unknownRank"
	UnknownService    Code = "unknownService"
	UnknownPath       Code = "unknownPath"
	NotReady          Code = "notReady"
	ConfigUnconfirmed Code = "configUnconfirmed"
	ShuttingDown      Code = "shuttingDown"
	HostFull          Code = "hostFull"
	MemoryFull        Code = "memoryFull"
	ConnectionsFull   Code = "connectionsFull"
	QueueFull         Code = "queueFull"
	WouldMissTarget   Code = "wouldMissTarget"
	Shed              Code = "shed"
	CallerLimit       Code = "callerLimit"
	NoPath            Code = "noPath"
	NoServer          Code = "noServer"
	Quarantined       Code = "quarantined"
	PlatformOut       Code = "platformOut"
	MissingKey        Code = "missingKey"
	KeyReused         Code = "keyReused"
	InProgress        Code = "inProgress"
	OutcomeUnknown    Code = "outcomeUnknown"
	BackendFailed     Code = "backendFailed"
	Stalled           Code = "stalled"
	TimedOut          Code = "timedOut"
	RetryBudget       Code = "retryBudget"
	CallerLeft        Code = "callerLeft"
	StoppedNow        Code = "stoppedNow"
	StageDied         Code = "stageDied"
	StageStalled      Code = "stageStalled"
	StageRefused      Code = "stageRefused"
	StageUnreachable  Code = "stageUnreachable"
	StageMisstep      Code = "stageMisstep"
	StageResumed      Code = "stageResumed"
	ServerUnreachable Code = "serverUnreachable"
	LookupRepeated    Code = "lookupRepeated"
	ClaimReadBack     Code = "claimReadBack"
	OutcomeTooLong    Code = "outcomeTooLong"
	ConfigReadBack    Code = "configReadBack"
	StaleEpoch        Code = "staleEpoch"
	RepeatedIndex     Code = "repeatedIndex"
	LateEvent         Code = "lateEvent"
	ForeignAnswer     Code = "foreignAnswer"
	StaleNews         Code = "staleNews"
	StoreRestored     Code = "storeRestored"
	FrameTooLarge     Code = "frameTooLarge"
	FrameVersion      Code = "frameVersion"
	FrameBroken       Code = "frameBroken"
	RowBroken         Code = "rowBroken"
	InternalError     Code = "internalError"
	ConfigConflict    Code = "configConflict"
	ConfigInvalid     Code = "configInvalid"
	ConfigUnsettled   Code = "configUnsettled"
	OrderFenced       Code = "orderFenced"
	LeaseLost         Code = "leaseLost"
	InvariantViolated Code = "invariantViolated"
)

// All lists every reason in the order of the table in docs/operating.md.
var All = []Reason{
	{
		Code: Unauthorized, Kind: Refusal, Status: 401, Ran: NotRun, Retryable: false,
		Title:          "Unknown token",
		Text:           "The bearer token is missing or belongs to no caller.",
		OperatorAction: "Check the caller's tokenSha256 in the configuration.",
	},
	{
		Code: RankNotAllowed, Kind: Refusal, Status: 403, Ran: NotRun, Retryable: false,
		Title:          "Rank not allowed",
		Text:           "The caller may not use this rank.",
		OperatorAction: "Add the rank to the caller's ranks if it should have it.",
	},
	{
		Code: HeadTooLong, Kind: BadInput, Status: 431, Ran: NotRun, Retryable: false,
		Title:          "Head too long",
		Text:           "The request line and the headers together are longer than the limit.",
		OperatorAction: "None.",
	},
	{
		Code: BodyTooLong, Kind: BadInput, Status: 413, Ran: NotRun, Retryable: false,
		Title:          "Body too long",
		Text:           "The request body is longer than the limit.",
		OperatorAction: "None, unless the limit in the settings is too low for your callers.",
	},
	{
		Code: BrokenBody, Kind: BadInput, Status: 400, Ran: NotRun, Retryable: false,
		Title:          "Broken body",
		Text:           "The encoding of the request body is broken, for instance the length of a chunk.",
		OperatorAction: "None.",
	},
	{
		Code: RequestTooSlow, Kind: BadInput, Status: 408, Ran: NotRun, Retryable: true,
		Title:          "Request too slow",
		Text:           "The head or the body of the request did not arrive in its time.",
		OperatorAction: "None.",
	},
	{
		Code: BadJSON, Kind: BadInput, Status: 400, Ran: NotRun, Retryable: false,
		Title:          "Broken JSON",
		Text:           "The request body is not valid JSON.",
		OperatorAction: "None.",
	},
	{
		Code: BadField, Kind: BadInput, Status: 400, Ran: NotRun, Retryable: false,
		Title:          "Bad field",
		Text:           "A field of the request has a value that is not allowed.",
		OperatorAction: "None.",
	},
	{
		Code: BadTarget, Kind: BadInput, Status: 400, Ran: NotRun, Retryable: false,
		Title:          "Bad request target",
		Text:           "The target of the request line is neither a path nor an http URI, or has a number sign, or the method opens a tunnel.",
		OperatorAction: "None.",
	},
	{
		Code: UnknownModel, Kind: BadInput, Status: 404, Ran: NotRun, Retryable: false,
		Title:          "Unknown model",
		Text:           "No pipeline carries this model.",
		OperatorAction: "Check that a pipeline with this model is in force.",
	},
	{
		Code: PipelineRemoved, Kind: Refusal, Status: 503, Ran: NotRun, Retryable: true,
		Title:          "Pipeline removed",
		Text:           "A change of the configuration removed the pipeline while the request waited for it. Another one may serve it now.",
		OperatorAction: "None.",
	},
	{
		Code: UnknownRank, Kind: BadInput, Status: 400, Ran: NotRun, Retryable: false,
		Title:          "Unknown rank",
		Text:           "No rank has this name.",
		OperatorAction: "Check the ranks in force.",
	},
	{
		Code: UnknownService, Kind: BadInput, Status: 404, Ran: NotRun, Retryable: false,
		Title:          "Unknown service",
		Text:           "No service has this name.",
		OperatorAction: "Check the services in force.",
	},
	{
		Code: UnknownPath, Kind: BadInput, Status: 404, Ran: NotRun, Retryable: false,
		Title:          "Unknown path",
		Text:           "The server has nothing under this path.",
		OperatorAction: "None.",
	},
	{
		Code: NotReady, Kind: Refusal, Status: 503, Ran: NotRun, Retryable: true,
		Title:          "Host not ready",
		Text:           "The host does not have the configuration yet.",
		OperatorAction: "Check that the host reaches the platform or a peer.",
	},
	{
		Code: ConfigUnconfirmed, Kind: Refusal, Status: 503, Ran: NotRun, Retryable: true,
		Title:          "Configuration not confirmed",
		Text:           "The host does not know the path or the token, and has not heard lately whether its configuration is the newest.",
		OperatorAction: "Check that the host reaches the platform or a peer that does.",
	},
	{
		Code: ShuttingDown, Kind: Refusal, Status: 503, Ran: NotRun, Retryable: true,
		Title:          "Host shutting down",
		Text:           "The host is finishing its work and takes no new requests.",
		OperatorAction: "None, it is a planned stop.",
	},
	{
		Code: HostFull, Kind: Refusal, Status: 503, Ran: NotRun, Retryable: true,
		Title:          "Host full",
		Text:           "The host holds as many requests as its settings allow.",
		OperatorAction: "Add entry hosts, or raise maxRequests.",
	},
	{
		Code: MemoryFull, Kind: Refusal, Status: 503, Ran: NotRun, Retryable: true,
		Title:          "Memory full",
		Text:           "The host has no memory for the request now, or the caller uses its share of it.",
		OperatorAction: "Add entry hosts, or raise memoryMb if the machine has more memory.",
	},
	{
		Code: ConnectionsFull, Kind: Refusal, Status: 503, Ran: NotRun, Retryable: true,
		Title:          "Connections full",
		Text:           "The host has as many connections open as its descriptors allow, or the source address uses its share of them.",
		OperatorAction: "Add entry hosts, or raise the limit of descriptors of the process.",
	},
	{
		Code: QueueFull, Kind: Refusal, Status: 503, Ran: NotRun, Retryable: true,
		Title:          "Queue full",
		Text:           "The queue of the rank is full.",
		OperatorAction: "Add backend servers, or raise the rank's maxQueue.",
	},
	{
		Code: WouldMissTarget, Kind: Refusal, Status: 503, Ran: NotRun, Retryable: true,
		Title:          "Target out of reach",
		Text:           "The expected wait is longer than the rank's target for the first token.",
		OperatorAction: "Add backend servers, or relax the rank's target.",
	},
	{
		Code: Shed, Kind: Refusal, Status: 503, Ran: NotRun, Retryable: true,
		Title:          "Shed under overload",
		Text:           "The request waited until its target was out of reach, or work of more worth needed its place.",
		OperatorAction: "Add backend servers.",
	},
	{
		Code: CallerLimit, Kind: Refusal, Status: 429, Ran: NotRun, Retryable: true,
		Title:          "Caller over its limit",
		Text:           "The caller asked for more tokens per second than its limit.",
		OperatorAction: "Raise the caller's tokensPerSecond if it should have more.",
	},
	{
		Code: NoPath, Kind: Refusal, Status: 503, Ran: NotRun, Retryable: true,
		Title:          "No path",
		Text:           "No set of live backend servers covers every layer of the model.",
		OperatorAction: "Check which layers are held: sassafrasrock status.",
	},
	{
		Code: NoServer, Kind: Refusal, Status: 503, Ran: NotRun, Retryable: true,
		Title:          "No backend server",
		Text:           "No backend server of the service is live.",
		OperatorAction: "Check the service's backend servers: sassafrasrock status.",
	},
	{
		Code: Quarantined, Kind: Refusal, Status: 422, Ran: NotRun, Retryable: false,
		Title:          "Request quarantined",
		Text:           "This request, or others with a part of its prompt, crashed backend servers.",
		OperatorAction: "Find out why it crashes them; then sassafrasrock reset FINGERPRINT.",
	},
	{
		Code: PlatformOut, Kind: Refusal, Status: 503, Ran: NotRun, Retryable: true,
		Title:          "Platform out",
		Text:           "The call may not run twice, and the table service that guards this does not answer.",
		OperatorAction: "Check the platform's table service.",
	},
	{
		Code: MissingKey, Kind: Refusal, Status: 400, Ran: NotRun, Retryable: false,
		Title:          "Idempotency key missing",
		Text:           "The call may not run twice and needs an Idempotency-Key header.",
		OperatorAction: "None.",
	},
	{
		Code: KeyReused, Kind: Refusal, Status: 409, Ran: NotRun, Retryable: false,
		Title:          "Idempotency key reused",
		Text:           "The key was used before for a call with other content.",
		OperatorAction: "None.",
	},
	{
		Code: InProgress, Kind: Refusal, Status: 409, Ran: NotRun, Retryable: true,
		Title:          "Call in progress",
		Text:           "An earlier call with this key has not ended yet; this one was not run.",
		OperatorAction: "None.",
	},
	{
		Code: OutcomeUnknown, Kind: Failure, Status: 502, Ran: MayHaveRun, Retryable: false,
		Title:          "Outcome unknown",
		Text:           "The call was handed to a backend server and its outcome is not known; it is never sent again.",
		OperatorAction: "Find out at the application whether the call took effect.",
	},
	{
		Code: BackendFailed, Kind: Failure, Status: 502, Ran: MayHaveRun, Retryable: true,
		Title:          "Backend server failed",
		Text:           "The backend servers failed while the request ran, and no retry was left.",
		OperatorAction: "Check the backend servers: sassafrasrock status.",
	},
	{
		Code: Stalled, Kind: Failure, Status: 504, Ran: MayHaveRun, Retryable: true,
		Title:          "Stream stalled",
		Text:           "No token came within the stall limit, and no retry was left.",
		OperatorAction: "Check the links and the load of the backend servers.",
	},
	{
		Code: TimedOut, Kind: Failure, Status: 504, Ran: MayHaveRun, Retryable: true,
		Title:          "Deadline passed",
		Text:           "The answer was not whole by the deadline of the caller or of the route.",
		OperatorAction: "Check the load of the backend servers, or raise the route's timeout.",
	},
	{
		Code: RetryBudget, Kind: Failure, Status: 502, Ran: MayHaveRun, Retryable: true,
		Title:          "Retry budget spent",
		Text:           "The request failed, and the retry budget of the caller or backend server is spent.",
		OperatorAction: "Check why backend servers fail: sassafrasrock status.",
	},
	{
		Code: CallerLeft, Kind: Failure, Status: 499, Ran: MayHaveRun, Retryable: true,
		Title:          "Caller left",
		Text:           "The caller closed its connection before the answer was whole.",
		OperatorAction: "None.",
	},
	{
		Code: StoppedNow, Kind: Failure, Status: 502, Ran: MayHaveRun, Retryable: true,
		Title:          "Host stopped",
		Text:           "The host had to end before the answer was whole: its grace was over, or it was told twice to stop.",
		OperatorAction: "Give hosts time to finish: a longer grace, and the signal only once.",
	},
	{
		Code: StageDied, Kind: Retry, Status: 0, Ran: NotReported, Retryable: true,
		Title:          "Stage died",
		Text:           "The connection to a backend server was lost in the middle of a request; the request is replayed on a new path.",
		OperatorAction: "Check the backend server.",
	},
	{
		Code: StageStalled, Kind: Retry, Status: 0, Ran: NotReported, Retryable: true,
		Title:          "Stage stalled",
		Text:           "A backend server did not answer a step within the stall limit; the request is replayed on a new path.",
		OperatorAction: "Check the backend server's load and link.",
	},
	{
		Code: StageRefused, Kind: Retry, Status: 0, Ran: NotReported, Retryable: true,
		Title:          "Stage refused",
		Text:           "A backend server said that it did not start; the request goes elsewhere.",
		OperatorAction: "Check the backend server's slots and layers.",
	},
	{
		Code: StageUnreachable, Kind: Retry, Status: 0, Ran: NotReported, Retryable: true,
		Title:          "Stage unreachable",
		Text:           "No connection to a backend server could be opened; the request goes elsewhere.",
		OperatorAction: "Check the backend server and the network.",
	},
	{
		Code: StageMisstep, Kind: Retry, Status: 0, Ran: NotReported, Retryable: true,
		Title:          "Stage out of step",
		Text:           "A backend server answered with the wrong index or position; the request is replayed on a new path.",
		OperatorAction: "Report it with the engine's version.",
	},
	{
		Code: StageResumed, Kind: Retry, Status: 0, Ran: NotReported, Retryable: true,
		Title:          "Stage resumed",
		Text:           "The connection to a backend server was lost or went silent in the middle of a request; the session goes on over a new connection, and nothing is run again.",
		OperatorAction: "If it recurs, check the network between the host and the backend server.",
	},
	{
		Code: ServerUnreachable, Kind: Retry, Status: 0, Ran: NotReported, Retryable: true,
		Title:          "Application server unreachable",
		Text:           "No connection to an application's backend server could be opened; the call was not handed over and goes elsewhere.",
		OperatorAction: "Check the backend server and the network.",
	},
	{
		Code: LookupRepeated, Kind: Retry, Status: 0, Ran: NotReported, Retryable: true,
		Title:          "Look-up repeated",
		Text:           "An idempotent call failed and is sent to another backend server.",
		OperatorAction: "Check the backend server.",
	},
	{
		Code: ClaimReadBack, Kind: Retry, Status: 0, Ran: NotReported, Retryable: true,
		Title:          "Claim read back",
		Text:           "The table service's answer to a claim was lost; the row is read back.",
		OperatorAction: "Check the platform's table service.",
	},
	{
		Code: OutcomeTooLong, Kind: Retry, Status: 0, Ran: NotReported, Retryable: true,
		Title:          "Outcome too long to record",
		Text:           "The answer to a call was sent but is too long to be recorded, or too many wait for their record; a repeat of the call is told outcomeUnknown.",
		OperatorAction: "Let the service answer calls that must not be repeated with short answers, or raise memoryMb.",
	},
	{
		Code: ConfigReadBack, Kind: Retry, Status: 0, Ran: NotReported, Retryable: true,
		Title:          "Configuration read back",
		Text:           "The table service's answer to a configuration change was lost; the row is read back.",
		OperatorAction: "Check the platform's table service.",
	},
	{
		Code: StaleEpoch, Kind: Dropped, Status: 0, Ran: NotReported, Retryable: false,
		Title:          "Token of an old epoch",
		Text:           "A token of an earlier attempt arrived late and was dropped.",
		OperatorAction: "None.",
	},
	{
		Code: RepeatedIndex, Kind: Dropped, Status: 0, Ran: NotReported, Retryable: false,
		Title:          "Token repeated",
		Text:           "A token with an index that was already taken was dropped.",
		OperatorAction: "None.",
	},
	{
		Code: LateEvent, Kind: Dropped, Status: 0, Ran: NotReported, Retryable: false,
		Title:          "Late event",
		Text:           "An event about a request or attempt that has already ended was dropped.",
		OperatorAction: "None.",
	},
	{
		Code: ForeignAnswer, Kind: Dropped, Status: 0, Ran: NotReported, Retryable: false,
		Title:          "Answer of another server",
		Text:           "An answer came from the address of a backend server without its proof, and was not passed on. The address gets no work for a time.",
		OperatorAction: "Find out what listens at the address, and who wrote the entry that names it.",
	},
	{
		Code: StaleNews, Kind: Dropped, Status: 0, Ran: NotReported, Retryable: false,
		Title:          "Stale news",
		Text:           "A peer's news was older than what the host knows.",
		OperatorAction: "None.",
	},
	{
		Code: StoreRestored, Kind: Dropped, Status: 0, Ran: NotReported, Retryable: false,
		Title:          "Store restored from an older copy",
		Text:           "The platform's store began a new era. The host replaced its copies of the store's tables.",
		OperatorAction: "Check that what was written to the store in the seconds before is there again.",
	},
	{
		Code: FrameTooLarge, Kind: BadInput, Status: 0, Ran: NotReported, Retryable: false,
		Title:          "Peer frame too large",
		Text:           "A peer sent a frame over the size limit.",
		OperatorAction: "Check that all hosts run compatible versions.",
	},
	{
		Code: FrameVersion, Kind: BadInput, Status: 0, Ran: NotReported, Retryable: false,
		Title:          "Peer protocol version",
		Text:           "A peer sent a frame of an unknown protocol version.",
		OperatorAction: "Check that all hosts run compatible versions.",
	},
	{
		Code: FrameBroken, Kind: BadInput, Status: 0, Ran: NotReported, Retryable: false,
		Title:          "Peer frame broken",
		Text:           "A peer sent a frame that does not decode.",
		OperatorAction: "Check that all hosts run compatible versions.",
	},
	{
		Code: RowBroken, Kind: BadInput, Status: 0, Ran: NotReported, Retryable: false,
		Title:          "Row of the store broken",
		Text:           "A row of the platform's store does not decode; the log line has its table, key and version.",
		OperatorAction: "Find out who wrote the row. The last good configuration or host stays in force; a broken entry names no backend server.",
	},
	{
		Code: InternalError, Kind: Failure, Status: 500, Ran: MayHaveRun, Retryable: true,
		Title:          "Internal error",
		Text:           "The host met a programming error while it handled the request; only this request ended.",
		OperatorAction: "Report it with the stack of the log line.",
	},
	{
		Code: ConfigConflict, Kind: Refusal, Status: 409, Ran: NotRun, Retryable: true,
		Title:          "Configuration changed meanwhile",
		Text:           "Another change was accepted first; nothing was written.",
		OperatorAction: "Look at the difference and apply again.",
	},
	{
		Code: ConfigInvalid, Kind: BadInput, Status: 400, Ran: NotRun, Retryable: false,
		Title:          "Configuration not valid",
		Text:           "The configuration has fields with values that are not allowed; nothing was written.",
		OperatorAction: "Correct the fields that the answer lists.",
	},
	{
		Code: ConfigUnsettled, Kind: Failure, Status: 502, Ran: MayHaveRun, Retryable: true,
		Title:          "Configuration change unsettled",
		Text:           "The platform went out while the change was written; it may or may not be in force later.",
		OperatorAction: "When the platform is back: sassafrasrock get, then apply again if need be.",
	},
	{
		Code: OrderFenced, Kind: Dropped, Status: 0, Ran: NotReported, Retryable: false,
		Title:          "Order refused by fencing",
		Text:           "An engine refused an order that carried an old fencing number.",
		OperatorAction: "None, another host holds the lease.",
	},
	{
		Code: LeaseLost, Kind: Dropped, Status: 0, Ran: NotReported, Retryable: false,
		Title:          "Lease lost",
		Text:           "The lease for orders was lost or ran out, and no order was sent.",
		OperatorAction: "None, unless it recurs: check the platform's table service.",
	},
	{
		Code: InvariantViolated, Kind: Failure, Status: 0, Ran: NotReported, Retryable: false,
		Title:          "Invariant violated",
		Text:           "A property that must always hold did not hold at the end of a tick.",
		OperatorAction: "Report it with the log line.",
	},
}
