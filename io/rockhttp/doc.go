// Package rockhttp is the callers' HTTP front end: model requests with JSON or
// server-sent events, calls of services, a caller's totals and health checks.
//
// It only translates messages. Names are resolved by rocklookup, and the
// function fields of Server lead to the control thread and to traffic.
package rockhttp
