// Package rockengine is the client for model engines. It opens sessions on the
// stages of a path, reads an engine's status and cache events, sends orders and
// transfers KV caches. Sessions exchange JSON lines over HTTP/2; the other
// requests carry one JSON message each way.
package rockengine
