package rockstandin

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// port is a bound socket that does not listen: the kernel refuses connections, and sockets without
// SO_REUSEADDR cannot bind the address.
type port struct {
	file *os.File
}

// reservePort binds a socket to an IPv4 address.
func reservePort(address string) (*port, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil || !addr.Addr().Is4() {
		return nil, fmt.Errorf("address %s is not an IPv4 address with a port", address)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	file := os.NewFile(uintptr(fd), "port")
	// Binding a port whose last connections are still closing needs SO_REUSEADDR. The kernel gives the port
	// only to sockets that ask for its number and have that option too.
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()})
	}
	if err != nil {
		_ = file.Close()
		return nil, os.NewSyscallError("bind", err)
	}
	return &port{file: file}, nil
}

// listen turns the port into a listener. The port cannot be used afterwards.
func (p *port) listen() (net.Listener, error) {
	defer p.file.Close()
	raw, err := p.file.SyscallConn()
	if err != nil {
		return nil, err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), syscall.SOMAXCONN) }); err != nil {
		return nil, err
	}
	if failed != nil {
		return nil, os.NewSyscallError("listen", failed)
	}
	return net.FileListener(p.file)
}

// release frees the address.
func (p *port) release() { _ = p.file.Close() }
