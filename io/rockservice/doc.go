// Package rockservice is the HTTP client for the backend servers of application and plain services.
package rockservice
