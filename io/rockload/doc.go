// Package rockload is an open-loop load generator. It sends requests to callers' addresses at a given
// rate and measures the answers.
//
// Requests are sent at the times of a seeded random schedule, whether or not earlier ones are answered,
// and latencies are measured from the scheduled time. A slow system under test therefore neither lowers
// the rate of the load nor hides its own delay from the measured latencies.
package rockload
