// Package rockplace plans which backend server holds which layers of a pipeline whose engines run
// a full path.
//
// Each data centre holds all layers of a pipeline if its memory suffices, so that requests stay
// inside it and the other data centres continue when it is lost. Within that constraint the plan
// leaves as much memory for requests as it can: a layer that a backend server holds takes memory
// from the requests that pass through all its layers. rocklease sends the orders.
package rockplace
