// Package rockliveness finds out whether the process of a backend server still runs after a connection to it has ended.
// Clients need it for answers that have neither a length nor chunks: the kernel ends the connection of a process that
// crashes like that of one that has sent all.
package rockliveness
