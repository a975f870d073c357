// Package rockplatform is the client of the platform: the host list, the table
// service and the object store, as JSON over HTTP.
package rockplatform
