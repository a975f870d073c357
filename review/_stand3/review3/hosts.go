package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// host is a process of the entry program.
type host struct {
	name, zone  string
	front       string // address for consumers
	ready       string // address of the readiness check
	settingsDir string
	cmd         *exec.Cmd
	ended       chan struct{}
}

// fields are the values with which the platform fills in deploy/settings.json.
func (h *host) fields(ip string, store string, ports [2]int) map[string]string {
	return map[string]string{
		"nodeName": h.name, "zone": h.zone, "region": "dakar", "listen.front": h.front, "listen.ready": h.ready, "ip": ip,
		"internalPorts.0": fmt.Sprint(ports[0]), "internalPorts.1": fmt.Sprint(ports[1]), "platform.addr": store,
		"limits.memoryMb": "284", "bounds.budgetWindowS": "10", "bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetMin": "200",
		"bounds.graceS": "8",
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)(\|json)?\}\}`)

// fill fills in the template. Numbers stay as they are in JSON.
func fill(template string, fields map[string]string) string {
	return placeholder.ReplaceAllStringFunc(template, func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		value := fields[m[1]]
		if m[2] == "" || strings.HasPrefix(m[1], "limits.") || strings.HasPrefix(m[1], "bounds.") {
			return value
		}
		quoted, _ := json.Marshal(value)
		return string(quoted)
	})
}

// freePort returns a port of an address that is free for TCP and UDP.
func freePort(ip string) int {
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		l.Close()
		if err == nil {
			u.Close()
			return port
		}
	}
}

// startHost writes the settings of a host and starts it with the command of deploy/system.toml.
func startHost(n int, zone, dir, store string) (*host, error) {
	ip := hostIP(n)
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, settingsDir: dir}
	h.front = fmt.Sprintf("%s:%d", ip, freePort(ip))
	h.ready = fmt.Sprintf("%s:%d", ip, freePort(ip))
	template, err := os.ReadFile("deploy/settings.json")
	if err != nil {
		return nil, err
	}
	text := fill(string(template), h.fields(ip, store, [2]int{freePort(ip), freePort("127.0.0.1")}))
	// The metrics have a fixed port on a machine of their own; here the machines are addresses of one.
	text = strings.Replace(text, `:9464"`, fmt.Sprintf(`:%d"`, freePort(ip)), 1)
	if err := os.WriteFile(h.settings(), []byte(text), 0o644); err != nil {
		return nil, err
	}
	return h, h.start()
}

// hostIP returns the loopback address that stands for a machine.
func hostIP(n int) string { return fmt.Sprintf("127.11.%d.%d", os.Getpid()%250+1, n) }

func (h *host) settings() string { return filepath.Join(h.settingsDir, h.name+".yaml") }

// start starts the process. Its log goes to a file beside its settings.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.settingsDir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	h.cmd = exec.Command("target/sassafrasrock-entry", h.settings())
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SASSAFRASROCK_SETTINGS=" + h.settings()}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := h.cmd, make(chan struct{})
	h.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.ended
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + h.ready + "/-/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", h.name, limit)
}
