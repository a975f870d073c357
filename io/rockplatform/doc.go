// Package rockplatform is the client of the platform's host list, table service
// and object store. It sends and receives JSON over HTTP.
package rockplatform
