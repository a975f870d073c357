// Package rockdaemon puts a daemon together from its settings: the control
// thread, the front ends and the clients, and the functions that carry the
// control thread's actions out. It also starts and stops them.
package rockdaemon
