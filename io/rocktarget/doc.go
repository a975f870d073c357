// Package rocktarget reads and sends the targets of HTTP/1.1 requests byte by byte. The URL type of the standard library
// keeps a decoded form, which cannot always be encoded back into the target that was sent.
package rocktarget
