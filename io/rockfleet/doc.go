// Package rockfleet simulates a fleet for measurements: the decision code of
// one or several entry hosts and model engines run together in virtual time.
//
// Engines batch continuously, as those of rockstandin do: a batch takes a fixed
// time, plus a time for each further session and a time for each position of a
// prefill. They compute no activations, so a second of real time is enough to
// simulate about a minute of a busy fleet. A host sends each step of a request
// to the stages of its path in turn and receives the result of each, as
// rocktraffic does.
package rockfleet
