// Package rocktick runs the systems over a World, in a fixed order, once for
// each batch of events or each deadline that is due:
//
//	rockconfig   accepts configuration rows
//	rockmember   hosts, backend servers, probes, gossip
//	rockdrain    leaving backend servers, graceful shutdown
//	rockplace    plan of the layers that backend servers hold
//	rocklease    lease and orders to engines
//	rockcrash    suspects and quarantine
//	rockclaim    claims of application calls
//	rockretry    ends of attempts, retries, replays
//	rockadmit    admission, queues, load shedding
//	rockroute    paths and starts
//	rockoutcome  answers, outcomes, totals
//
// State that decisions depend on is brought up to date first (configuration,
// membership, leaving), then work that ended, then new work. rockoutcome is
// last, so that it sees every answer of the tick.
package rocktick
