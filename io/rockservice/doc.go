// Package rockservice is the client of application and plain services over HTTP.
package rockservice
