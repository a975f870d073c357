// Package rockdaemon assembles a daemon from its settings: the control thread,
// the HTTP, peer and operator servers, and the clients of engines, services and
// the platform. It starts and stops them, and dispatches the actions of the
// control thread to them.
package rockdaemon
