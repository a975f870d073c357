// Package rockroute finds a path for each queued request and starts an attempt
// on it. A path is a list of backend servers and layer ranges that cover every
// layer of a model once, in order.
//
// A stage begins at the first layer of its backend server; it may begin later
// only if the engine reports that it runs sub-ranges. A stage may end before
// the backend server's range does. A path uses a backend server at most once.
package rockroute
