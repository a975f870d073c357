// Package rockcrash finds requests that crash the backend servers that run
// them, runs them alone, and quarantines them.
package rockcrash
