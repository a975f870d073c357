// Package rockroute finds paths: lists of backend servers and layer ranges
// that cover every layer of a model once, in order.
package rockroute
