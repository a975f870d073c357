// Package rockplace plans which backend server holds which layers of a pipeline whose engines run
// a full path.
//
// Each data centre holds all layers of a pipeline if its memory suffices, so that requests stay
// inside it and the other data centres continue when it is lost. Each layer that a backend server
// holds takes memory from the requests that pass through its layers. The plan therefore keeps a
// fraction of the memory that the most even plan leaves for requests, and uses the rest to hold as
// many layers as possible on the fastest backend servers. rocklease sends the orders.
package rockplace
