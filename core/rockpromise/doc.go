// Package rockpromise says which HTTP statuses a caller may get, by the kind of its request and what is known of its runs.
package rockpromise
