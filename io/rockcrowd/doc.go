// Package rockcrowd is a load generator for tests: crowds of clients that exceed the limits of requests, or come close to
// them, on many connections at once.
package rockcrowd
