// Package rockstream holds the rules for the tokens of one answer: which
// arriving token is the next one, and what the caller has been given so far.
package rockstream
