// Package rockresponse checks the HTTP responses that the product reads, and limits them. net/http accepts responses that
// are not valid HTTP, and the beginning of a response whose connection was aborted; passed on, they would reach callers as
// answers. All clients of the product send their requests through a Transport of this package.
package rockresponse
