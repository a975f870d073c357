// Package rockretry decides what follows when an attempt ends: an answer, a
// retry or replay on another path, or a failure, within retry budgets.
package rockretry
