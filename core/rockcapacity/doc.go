// Package rockcapacity keeps what a host knows of the capacity of backend servers whose engines run full paths.
//
// An engine refuses a request for which it lacks memory. What it can give differs from the memory by the figures of its
// kind: hosts know each other's reservations late, and engines reserve more or less than the hosts assume. Each refusal
// therefore lowers the fraction of the memory that this host uses, and time raises it again.
//
// rockroute places no request beyond that fraction, and rockadmit keeps a part of it for more urgent ranks while capacity
// is short.
package rockcapacity
