// Package rocktable defines the control state of a host: entities as plain
// structs in tables, the events that change them and the actions that follow.
//
// One World owns every table. Only the control thread writes it; the systems
// under core run over it each tick, and traffic goroutines read the Snapshot
// that is published after a tick.
package rocktable
