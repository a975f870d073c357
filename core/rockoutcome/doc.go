// Package rockoutcome completes the answers of a tick with their outcomes and
// keeps totals by caller and rank.
package rockoutcome
