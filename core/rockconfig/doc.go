// Package rockconfig activates configuration versions. It reads them from the
// row of the table service, from peers or from pushes of the platform, accepts
// only higher versions, and writes operators' changes by compare-and-set.
package rockconfig
