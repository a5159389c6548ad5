package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Ports of a machine; all machines use the same ones, each on a loopback address of its own.
type ports struct{ front, ready, control, agreement, links int }

// machine is a machine of the system with its processes by role.
type machine struct {
	name, ip, zone string
	disk           bool
	processes      map[string]*process
}

// process is a running program.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
	status  error
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// system is the installation under test.
type system struct {
	root, folder string
	ports        ports
	machines     []*machine
	platform     string
	// bounds are the fields of the settings that depend on the case.
	bounds map[string]string
	first  bool
	record *record
}

// network is drawn at each start, so that two cases do not share addresses.
var network = 16 + rand.IntN(200)

// hostOf returns the loopback address of a numbered host.
func hostOf(n int) string { return fmt.Sprintf("127.%d.%d.%d", network, 1+n/200, 1+n%200) }

// freePorts returns ports that are free on all hosts.
func freePorts(hosts []string) (ports, error) {
	for range 50 {
		base := 21_000 + rand.IntN(9_000)
		if free(hosts, base, 5) && free(hosts, 9464, 1) {
			return ports{base, base + 1, base + 2, base + 3, base + 4}, nil
		}
	}
	return ports{}, errors.New("no free ports")
}

func free(hosts []string, from, count int) bool {
	for _, host := range hosts {
		for p := from; p < from+count; p++ {
			l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(p)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// newSystem prepares machines, of which the first disks have a disk and run control.
func newSystem(root string, count, disks int, r *record) (*system, error) {
	folder, err := os.MkdirTemp("", "trefoil-review-")
	if err != nil {
		return nil, err
	}
	s := &system{root: root, folder: folder, first: true, record: r, bounds: map[string]string{"bounds.grace_s": "6"}}
	var hosts []string
	for i := range count {
		m := &machine{name: fmt.Sprintf("front-%d", i+1), ip: hostOf(i), zone: fmt.Sprintf("zone-%c", 'a'+i%3), disk: i < disks, processes: map[string]*process{}}
		s.machines = append(s.machines, m)
		hosts = append(hosts, m.ip)
	}
	s.ports, err = freePorts(hosts)
	return s, err
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

func (s *system) seeds() []string {
	var seeds []string
	for _, m := range s.machines {
		if m.disk && len(seeds) < 3 {
			seeds = append(seeds, m.address(s.ports.control))
		}
	}
	return seeds
}

// fields returns what the platform fills into a template.
func (s *system) fields(m *machine, role string) map[string]string {
	seeds, _ := json.Marshal(s.seeds())
	fields := map[string]string{
		"node": m.name, "zone": m.zone, "ip": m.ip, "cluster_ports.0": strconv.Itoa(s.ports.agreement), "cluster_ports.1": strconv.Itoa(s.ports.links),
		"data_dir": filepath.Join(s.folder, m.name, role), "seeds|json": string(seeds), "bootstrap": strconv.FormatBool(s.first),
		"tolerate.machines": "1", "zones|json": `{"zone-a":"area","zone-b":"area","zone-c":"area"}`,
		"limits.memory_mb": "284", "limits.max_fds": "4200", "limits.link_mbps": "1000.0", "limits.cpu_share": "0.72", "limits.cores": "1",
		"listen.front": m.address(s.ports.front), "listen.ready": m.address(s.ports.ready), "listen.control": m.address(s.ports.control),
		"cloud.addr": s.platform,
	}
	for name, value := range s.bounds {
		fields[name] = value
	}
	return fields
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9|]+)\}\}`)
)

// render fills a template in as DEPLOY.md tells it, as far as the templates of deploy/ need it.
func render(template string, fields map[string]string) string {
	text := section.ReplaceAllStringFunc(template, func(all string) string {
		parts := section.FindStringSubmatch(all)
		value, ok := fields[parts[1]]
		if !ok || value == "" {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", value)
	})
	return placeholder.ReplaceAllStringFunc(text, func(all string) string { return fields[placeholder.FindStringSubmatch(all)[1]] })
}

// start starts the process of a role on a machine, as the deploy file says.
func (s *system) start(m *machine, role string) error {
	template, err := os.ReadFile(filepath.Join(s.root, "deploy", role+".hujson.tmpl"))
	if err != nil {
		return err
	}
	folder := filepath.Join(s.folder, m.name, role)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	settings := filepath.Join(s.folder, m.name, role+".conf")
	if err := os.WriteFile(settings, []byte(render(string(template), s.fields(m, role))), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.folder, m.name, role+".log"))
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(s.root, "target", "trefoil-platform"), role)
	command.Dir, command.Stdout, command.Stderr = s.root, log, log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "TREFOILCOURSE_CONFIG=" + settings}
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{command: command, ended: make(chan struct{})}
	m.processes[role] = p
	go func() {
		p.status = command.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	s.record.say("started %s on %s, process %d", role, m.name, command.Process.Pid)
	return nil
}

// startAll starts the whole system for the first time, within 0.3 s.
func (s *system) startAll() error {
	for _, m := range s.machines {
		time.Sleep(time.Duration(rand.IntN(600)) * time.Millisecond / time.Duration(len(s.machines)))
		if m.disk {
			if err := s.start(m, "control"); err != nil {
				return err
			}
		}
		if err := s.start(m, "entry"); err != nil {
			return err
		}
	}
	s.first = false
	return nil
}

// restart stops a machine with SIGTERM and starts it again.
func (s *system) restart(m *machine) error {
	s.record.say("SIGTERM to all processes of %s", m.name)
	for _, p := range m.processes {
		p.signal(syscall.SIGTERM)
	}
	for role, p := range m.processes {
		select {
		case <-p.ended:
		case <-time.After(6 * time.Second):
			p.signal(syscall.SIGKILL)
			<-p.ended
		}
		if err := s.start(m, role); err != nil {
			return err
		}
	}
	return nil
}

// stopAll ends all processes and removes the folder.
func (s *system) stopAll() {
	for _, m := range s.machines {
		for _, p := range m.processes {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
		}
	}
	for _, m := range s.machines {
		for _, p := range m.processes {
			select {
			case <-p.ended:
			case <-time.After(5 * time.Second):
			}
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

func (s *system) controls() []string {
	var addresses []string
	for _, m := range s.machines {
		if m.disk {
			addresses = append(addresses, m.address(s.ports.control))
		}
	}
	return addresses
}

func (s *system) front(m *machine) string { return m.address(s.ports.front) }
