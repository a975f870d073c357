// Package rocklease holds the lease for orders to the engines of a data centre
// and sends the orders that make engines hold their placements.
package rocklease
