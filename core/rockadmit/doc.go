// Package rockadmit admits or refuses new requests, and orders queued ones by
// rank, floor and the callers' shares.
//
// Queued requests are held in lanes, one for each rank and pipeline, because
// pipelines use different backend servers. A lane has a line of requests for
// each caller, and a heap of the callers by tokens served. Requeued requests
// and suspects take precedence over the callers' lines. rockroute takes the
// requests from here through a Scheduler.
//
// The entry of a request that leaves a line stays there until it reaches the
// head, where it is skipped. This avoids a scan of the line for each removal.
package rockadmit
