// Package rocktick runs a tick: every system over a World in a fixed order,
// once for each batch of events and each deadline that passes:
//
//	rockfollow   keeps copies of the tables of the platform's store
//	rockconfig   accepts configuration rows
//	rockmember   tracks hosts and backend servers; probes and gossip
//	rockdrain    handles leaving backend servers and graceful shutdown
//	rockplace    plans which layers each backend server holds
//	rocklease    holds the lease and sends orders to engines
//	rockcrash    tracks suspects and quarantine
//	rockclaim    writes and reads the claims of application calls
//	rockretry    handles ended attempts: retries and replays
//	rockadmit    admits, queues and sheds requests
//	rockroute    chooses paths and starts attempts
//	rockoutcome  completes answers with outcomes and updates totals
//
// The state that decisions depend on (configuration, membership, departures)
// is updated first, then ended work, then new work. rockoutcome runs last
// because it processes every answer of the tick.
package rocktick
