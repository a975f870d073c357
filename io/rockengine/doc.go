// Package rockengine is the client of model engines: sessions on the stages of
// a path, status, orders and moves of KV cache, as JSON lines over HTTP/2.
package rockengine
