// Package rockdrain stops new work to backend servers that are leaving and
// carries out the graceful shutdown of the host.
package rockdrain
