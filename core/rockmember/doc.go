// Package rockmember keeps the tables of hosts and backend servers: from the
// platform's lagging list, from probes of backend servers, and from gossip
// between hosts.
package rockmember
