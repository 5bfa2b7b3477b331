package main

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the record of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (l *record) printf(format string, args ...any) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.file, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// settings are the fields of the platform from which the template of the settings is filled in.
type settings map[string]string

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// fill fills in a template with plain placeholders, as the platform does.
func fill(template string, values settings) (string, error) {
	var missing error
	out := placeholder.ReplaceAllStringFunc(template, func(p string) string {
		name, asJSON := strings.CutSuffix(p[2:len(p)-2], "|json")
		v, ok := values[name]
		if !ok {
			missing = fmt.Errorf("the template has the placeholder %s, for which there is no value", p)
		}
		if asJSON {
			return strconv.Quote(v)
		}
		return v
	})
	return out, missing
}

// gateway is a process of the role "gateway" of the deploy file.
type gateway struct {
	name, ip, front, ready string
	path                   string
	values                 settings
	log                    *record
	cmd                    *exec.Cmd
	output                 *os.File
	ended                  chan struct{}
	// state is how the process ended.
	state string
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newGateway writes the settings of a gateway. The address is one of its own, because the
// template has a fixed port.
func newGateway(dir, name, ip, storeAddr string, extra settings, log *record) (*gateway, error) {
	g := &gateway{name: name, ip: ip, log: log}
	var ports [3]int
	for i := range ports {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	g.front, g.ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	g.values = settings{
		"node": name, "zone": "zone-a", "listen.front": g.front, "listen.ready": g.ready, "ip": ip,
		"internalPorts.0": strconv.Itoa(ports[2]), "platform.address": storeAddr, "bounds.graceS": "8", "limits.memoryMb": "284",
	}
	g.path = filepath.Join(dir, name+".settings")
	return g, g.changeSettings(extra)
}

// changeSettings fills in the template again, with other values of some fields.
func (g *gateway) changeSettings(extra settings) error {
	maps.Copy(g.values, extra)
	template, err := os.ReadFile("deploy/gateway.json.template")
	if err != nil {
		return err
	}
	text, err := fill(string(template), g.values)
	if err != nil {
		return err
	}
	return os.WriteFile(g.path, []byte(text), 0o600)
}

// readText returns the content of a file, or nothing if it can't be read.
func readText(path string) string {
	b, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	return string(b)
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	var err error
	if g.output, err = os.OpenFile(g.path+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return err
	}
	g.cmd = exec.Command("target/bergamotrudder", "gateway")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERGAMOTRUDDER_SETTINGS=" + g.path}
	g.cmd.Stdout, g.cmd.Stderr = g.output, g.output
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.ended = make(chan struct{})
	cmd, ended := g.cmd, g.ended
	g.log.printf("%s started", g.name)
	go func() {
		_ = cmd.Wait()
		g.state = cmd.ProcessState.String()
		g.log.printf("%s ended: %s", g.name, g.state)
		close(ended)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.log.printf("%s gets signal %v", g.name, s)
	_ = g.cmd.Process.Signal(s)
}

// hasEnded reports whether the process has ended.
func (g *gateway) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// stop ends the process by its id.
func (g *gateway) stop() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.ended
	_ = g.output.Close()
}

// isReady asks for the readiness as the platform does.
func (g *gateway) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + g.ready + "/bergamotrudder/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until the gateway is ready.
func (g *gateway) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && !g.hasEnded(); time.Sleep(100 * time.Millisecond) {
		if g.isReady() {
			return true
		}
	}
	return false
}
