package rocktable

// HostID identifies an entry host within one World.
type HostID int32

// DataCentreID identifies a data centre within one World.
type DataCentreID int32

// BackendServerID identifies a backend server within one World.
type BackendServerID int32

// CallerID identifies a caller within one World.
type CallerID int32

// RankID identifies a rank within one World. It stays the same when a change of the configuration moves the rank, because
// requests may be on their way to the control thread with it.
type RankID int32

// NoRank is the rank of application calls, which are not queued by rank.
const NoRank RankID = -1

// PipelineID identifies a pipeline within one World.
type PipelineID int32

// ServiceID identifies an application or a plain service within one World.
type ServiceID int32

// RequestID identifies a request or call within one World and is never reused.
type RequestID uint64

// AttemptID identifies an attempt within one World and is never reused.
type AttemptID uint64
