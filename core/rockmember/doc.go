// Package rockmember maintains the tables of hosts and backend servers. Its
// sources are the platform's list, which lags behind the actual state, probes
// of backend servers, and gossip between hosts.
//
// Each host sends a message to a few peers in every round of gossip. A message
// carries the sender's own state, recent changes, heartbeats of other hosts,
// load and demand, and further rows in turn. Departures and changes in the
// work on suspects are sent at once.
package rockmember
