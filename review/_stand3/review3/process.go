package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"
)

// runnerProcess is a runner of a plain service in a process of its own, so that it can be killed.
type runnerProcess struct {
	id, addr string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// startRunner starts a process that answers each request without a length, in two parts with a pause between them.
func startRunner(ip, id string, pause time.Duration) (*runnerProcess, error) {
	s := &runnerProcess{id: id, addr: fmt.Sprintf("%s:%d", ip, freePort(ip)), ended: make(chan struct{})}
	s.cmd = exec.Command(os.Args[0], "runner", s.addr, id, strconv.Itoa(int(pause.Milliseconds())))
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.cmd.Stderr = os.Stderr
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = s.cmd.Wait()
		close(s.ended)
	}()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", s.addr); err == nil {
			c.Close()
			return s, nil
		}
	}
	return s, fmt.Errorf("runner %s does not listen", id)
}

// kill ends the process. The kernel closes its channels.
func (s *runnerProcess) kill() {
	_ = s.cmd.Process.Kill()
	<-s.ended
}

// The parts of the answer of a runnerProcess.
const (
	firstPart  = "square 14: guild of Medina;"
	secondPart = "square 15: guild of Yoff;"
)

// serveRunner is the runner's process. It ends when it is killed.
func serveRunner(addr, id string, pauseMs string) error {
	ms, err := strconv.Atoi(pauseMs)
	if err != nil {
		return err
	}
	return http.ListenAndServe(addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Runner-Id", id)
		if expects := r.Header.Get("X-Expect-Runner"); expects != "" && expects != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.Header.Get("X-Attempt-Id") == "" {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		attempt := r.Header.Get("X-Attempt-Id")
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Attempt-Id: %s\r\nX-Runner-Signature: signed-%s-%s\r\nX-Runner-Id: %s\r\n\r\n%s", attempt, id, attempt, id, firstPart)
		time.Sleep(time.Duration(ms) * time.Millisecond)
		fmt.Fprint(conn, secondPart)
	}))
}
