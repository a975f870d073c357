// Package rockmemory counts the bytes that a host holds for its callers and backend servers, and refuses those for which
// the process has no memory.
package rockmemory
