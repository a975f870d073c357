// Package rockload sends load to callers' addresses at a given rate and
// measures the answers.
//
// The load is open-loop: requests are sent at the times of a seeded random
// schedule, whether or not earlier ones are answered, and latencies are
// measured from the scheduled time. A slow system under test can thus not
// slow the load and hide its own delay.
package rockload
