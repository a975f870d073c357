// Package rockadmit admits or refuses new requests, and orders waiting ones by
// rank, floor and the callers' shares.
//
// Waiting requests stand in lanes, one for each rank and pipeline, because
// pipelines use different backend servers. A lane holds a heap of callers by
// tokens served, and each caller a line of requests. Requeued requests and
// suspects stand before the callers' lines. rockroute takes the requests from
// here through a Turn.
//
// Requests that leave a line are skipped when they come to its head, so that
// no operation scans a queue.
package rockadmit
