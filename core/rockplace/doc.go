// Package rockplace plans which backend server holds which layers of a pipeline whose engines run a whole path.
//
// Each data centre holds a whole pipeline where its memory allows, so that requests stay inside it and the others go on
// when it is lost. Within that, the plan leaves as much memory for requests as it can: a layer that a backend server holds
// takes memory from the requests that pass through all its layers. rocklease sends the orders.
package rockplace
