// Package rocktable defines the control state of a host: entities as plain
// structs in tables, the events that change them and the resulting actions.
//
// One World owns every table. Only the control thread writes it: the systems
// under core run over it each tick. Traffic goroutines read the Snapshot that
// is published after a tick.
//
// Names follow one scheme. Points in time end in At, Since or Until, or begin
// with Next if something is due then. State that peers report begins with Peer
// or Reported, state from the platform's list with Listed, and the state of a
// circuit breaker with Breaker.
package rocktable
