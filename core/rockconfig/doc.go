// Package rockconfig puts configuration versions in force: it reads the row of
// the table service, takes only higher versions, and writes operators' changes
// by compare-and-set.
package rockconfig
