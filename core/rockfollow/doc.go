// Package rockfollow keeps this host's copies of the tables of the platform's
// store. A few hosts of each data centre follow the store; they send the
// changes to the other hosts, so that calls to the store grow with data
// centres and with changes, not with hosts.
//
// The followers of a data centre are the hosts with the highest rendezvous
// hashes among those that are live. There is no election: each host decides by
// its own view, and a wrong view costs some calls more. A host that hears from
// no follower for silenceLimit follows the store itself.
//
// Each copy has the version up to which it has all changes, and a digest of its
// rows. Messages between hosts carry both. A host whose digest differs from
// that of a peer with a higher version lacks changes. It asks the peer for
// them, and reads the store if no answer arrives.
package rockfollow
