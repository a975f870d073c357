// Package rockstream tracks the tokens of one answer across attempts. It decides whether an arriving
// token is the next one and records the tokens that were delivered to the caller.
package rockstream
