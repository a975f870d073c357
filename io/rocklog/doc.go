// Package rocklog writes log lines without blocking the code that logs. Lines wait in a bounded queue.
// Lines that arrive while the queue is full, or that exceed a rate limit, are omitted and counted.
package rocklog
