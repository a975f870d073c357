// Package rockfleet runs the decision code of one or several hosts against
// model engines in virtual time, for measurements.
//
// Engines batch continuously like those of rockstandin: a batch takes a fixed
// time, a time for each further session and a time for each position of a
// prefill. They compute no activations, so that a minute of a busy fleet takes
// about a second. A host sends each step of a request to every stage of its
// path in turn and gets the answer back, as rocktraffic does.
package rockfleet
