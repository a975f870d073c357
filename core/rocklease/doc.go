// Package rocklease holds the lease for orders to the engines of a data centre
// and brings what engines hold in line with the pipelines.
package rocklease
