package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Figures of a small deployment, as in SYSTEM.md.
const (
	heartbeatS = 1.5
	drainS     = 2.0
	graceS     = 6.0
	configS    = 2.0
)

// site is a small deployment: the store and some machines, each with a node of the project and a
// stand-in of a target.
type site struct {
	dir      string // temporary
	root     string // of the repository
	template string
	rec      *record
	store    *store
	machines []*machine
	zones    []string
}

// machine has an address of its own, a node and a target.
type machine struct {
	site              *site
	name, zone, ip    string
	localPort         int
	service           string
	outbound, control string
	ready, app        string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}

	target *target
}

func (m *machine) settings() string {
	fields := map[string]any{
		"NodeName": m.name, "Zone": m.zone, "Ip": m.ip,
		"Zones":         m.site.zones,
		"Listen":        map[string]any{"Outbound": m.outbound, "Ready": m.ready, "Control": m.control},
		"InternalPorts": []int{7000, m.localPort},
		"Limits":        map[string]any{"MemoryMb": 284, "MaxFds": 4100},
		"HeartbeatS":    heartbeatS,
		"Bounds":        map[string]any{"RevokeS": 5, "StrictRevocation": true, "RetryBudgetRatio": 0.2, "BudgetSlack": 47, "GraceS": 6},
		"AppAddress":    m.app,
		"Service":       m.service,
		"Platform":      map[string]any{"Address": m.site.store.addr, "keep_s": 20},
	}
	return render(m.site.template, fields)
}

// startNode starts the node with the command of the deploy file.
func (m *machine) startNode() error {
	file := filepath.Join(m.site.dir, m.name+".toml")
	if err := os.WriteFile(file, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(m.site.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	cmd := exec.Command(filepath.Join(m.site.root, "target/platform"))
	cmd.Dir = m.site.root
	cmd.Env = []string{"DOGWOODSILL_BOOT=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + m.site.dir}
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.mu.Unlock()
	return nil
}

func (m *machine) stopNode() {
	m.mu.Lock()
	cmd, ended := m.cmd, m.ended
	m.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-ended
	}
}

// isReady asks as the platform does.
func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + m.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// newSite starts the store and prepares machines; place lists the zone and the service of each.
func newSite(root string, rec *record, place []string) (*site, error) {
	template, err := os.ReadFile(filepath.Join(root, "deploy/node.toml"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, root: root, template: string(template), rec: rec}
	current.Store(s)
	net3 := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250)
	if s.store, err = startStore(net3 + ".1"); err != nil {
		return nil, err
	}
	for i, p := range place {
		zone, service, _ := strings.Cut(p, " ")
		ip := fmt.Sprintf("%s.%d", net3, 10+i)
		m := &machine{site: s, name: fmt.Sprintf("sidecar-%s-%d", zone, i+1), zone: zone, ip: ip, service: service}
		for _, at := range []*string{&m.outbound, &m.control, &m.ready, &m.app} {
			*at, err = freeAddr(ip)
			if err != nil {
				return nil, err
			}
		}
		local, err := freeAddr("127.0.0.1")
		if err != nil {
			return nil, err
		}
		_, _ = fmt.Sscanf(local, "127.0.0.1:%d", &m.localPort)
		s.machines = append(s.machines, m)
		known := false
		for _, z := range s.zones {
			known = known || z == zone
		}
		if !known {
			s.zones = append(s.zones, zone)
		}
	}
	return s, nil
}

func freeAddr(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// start starts the nodes and targets of machines and waits until the nodes are ready.
func (s *site) start(ctx context.Context, machines []*machine) error {
	for _, m := range machines {
		if err := m.startNode(); err != nil {
			return err
		}
		if m.target == nil {
			m.target = newTarget(m, "i-"+m.name)
		}
		if err := m.target.start(); err != nil {
			return err
		}
	}
	for _, m := range machines {
		for !m.isReady() {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes of the deployment.
func (s *site) stop() {
	if s == nil {
		return
	}
	for _, m := range s.machines {
		m.stopNode()
		if m.target != nil {
			m.target.exit()
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "kept:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// endedNodes returns the names of machines whose node ended though nobody stopped it.
func (s *site) endedNodes() []string {
	var out []string
	for _, m := range s.machines {
		m.mu.Lock()
		ended := m.ended
		m.mu.Unlock()
		if ended == nil {
			continue
		}
		select {
		case <-ended:
			out = append(out, m.name)
		default:
		}
	}
	return out
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	buf   bytes.Buffer
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.buf, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
