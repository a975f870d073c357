// Package rockhttp is the HTTP front end for callers. It serves model requests,
// answered with JSON or server-sent events, calls to services, the totals of a
// caller and health checks.
//
// It only decodes requests and encodes answers. Package rocklookup resolves
// names, and the function fields of Server connect it to the control thread and
// to package rocktraffic.
package rockhttp
