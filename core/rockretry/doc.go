// Package rockretry decides what follows when an attempt ends: an answer, a
// retry or replay on another path, or a failure, within retry budgets. It also
// keeps the circuit breakers and the concurrency limits of backend servers,
// which depend on how attempts end.
package rockretry
