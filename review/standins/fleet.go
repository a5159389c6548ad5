package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// restartDelay is the short delay after which the platform restarts a process that ended.
	restartDelay = 500 * time.Millisecond
	// metricsPort is fixed in the template of the entry role.
	metricsPort = 9464
	graceTime   = 6 * time.Second
	// drainTime is how long a database serves after the ack of its draining.
	drainTime = 7 * time.Second
	// regionName is the region of all zones.
	regionName = "region-a"
)

// machine is a simulated machine: an address of the loopback network with the roles that run there.
type machine struct {
	name, zone, ip string
	disk           bool
	processes      []*process
}

// process is one program of the project on a machine. It is restarted when it ends.
type process struct {
	machine *machine
	role    string
	config  string

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool
	ownEnds int
	ended   chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	rec      *record
	root     string
	folder   string
	prefix   string
	ports    map[string]int
	machines []*machine
	services *platform
}

// newFleet plans a deployment: in each of three zones one machine with a disk and some without. Control
// runs on the first two machines of each zone, entry on all, as in the deploy file.
func newFleet(rec *record, root string, withoutDisk int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, root: root, folder: folder}
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d", 20+rand.IntN(200))
		base := 20000 + rand.IntN(10000)
		f.ports = map[string]int{"agreement": base, "links": base + 15, "control": base + 20, "front": base + 21, "ready": base + 22, "database": base + 30, "promote": base + 31}
		f.machines = nil
		for z := range 3 {
			for n := range 1 + withoutDisk {
				f.machines = append(f.machines, &machine{
					name: fmt.Sprintf("front-zone-%c-%d", 'a'+z, n+1), zone: fmt.Sprintf("zone-%c", 'a'+z),
					ip: fmt.Sprintf("%s.%d.%d", f.prefix, z+1, n+1), disk: n == 0,
				})
			}
		}
		if f.portsFree() {
			return f, nil
		}
	}
	return nil, errors.New("no free ports")
}

func (f *fleet) portsFree() bool {
	for _, m := range f.machines {
		for _, port := range []int{f.ports["agreement"], f.ports["links"], f.ports["control"], f.ports["front"], f.ports["ready"], metricsPort} {
			l, err := net.Listen("tcp", net.JoinHostPort(m.ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) address(m *machine, port string) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(f.ports[port]))
}

// databaseAddress returns the address of the database with a number in a zone.
func (f *fleet) databaseAddress(zone, number int) string {
	return net.JoinHostPort(fmt.Sprintf("%s.%d.%d", f.prefix, 100+zone, number), strconv.Itoa(f.ports["database"]))
}

func (f *fleet) promoteAddress() string {
	return net.JoinHostPort(f.prefix+".200.1", strconv.Itoa(f.ports["promote"]))
}

// controlAddresses returns the operator's list.
func (f *fleet) controlAddresses() []string {
	var addresses []string
	for _, m := range f.machines {
		if m.role("control") != nil {
			addresses = append(addresses, f.address(m, "control"))
		}
	}
	return addresses
}

func (m *machine) role(name string) *process {
	for _, p := range m.processes {
		if p.role == name {
			return p
		}
	}
	return nil
}

// start starts every role of the deploy file.
func (f *fleet) start() error {
	inZone := map[string]int{}
	for _, m := range f.machines {
		inZone[m.zone]++
		m.processes = append(m.processes, &process{machine: m, role: "entry"})
		if inZone[m.zone] <= 2 {
			m.processes = append(m.processes, &process{machine: m, role: "control"})
		}
	}
	for _, m := range f.machines {
		for _, p := range m.processes {
			if err := f.startProcess(p, true); err != nil {
				return err
			}
		}
	}
	return nil
}

// startProcess starts a process unless it is stopped for good.
func (f *fleet) startProcess(p *process, bootstrap bool) error {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy", p.role+".hujson.tmpl"))
	if err != nil {
		return err
	}
	p.config = filepath.Join(f.folder, p.machine.name+"-"+p.role+".conf")
	settings, err := render(string(text), f.settings(p, bootstrap))
	if err != nil {
		return fmt.Errorf("the template of role %s: %w", p.role, err)
	}
	if err := os.WriteFile(p.config, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.folder, p.machine.name+"-"+p.role+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	command := exec.Command("target/trefoil-platform", p.role)
	command.Dir = f.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "LANG=C.UTF-8", "TREFOILCOURSE_CONFIG=" + p.config}
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	ended := make(chan struct{})
	p.mu.Lock()
	if p.stopped {
		p.mu.Unlock()
		return nil
	}
	if err := command.Start(); err != nil {
		p.mu.Unlock()
		return err
	}
	p.command, p.ended = command, ended
	p.mu.Unlock()
	go func() {
		err := command.Wait()
		close(ended)
		p.mu.Lock()
		stopped := p.stopped
		if !stopped {
			p.ownEnds++
		}
		p.mu.Unlock()
		if stopped {
			return
		}
		f.rec.say("process %s/%s ended: %v", p.machine.name, p.role, err)
		time.Sleep(restartDelay)
		if err := f.startProcess(p, false); err != nil {
			f.rec.say("restart of %s/%s: %v", p.machine.name, p.role, err)
		}
	}()
	return nil
}

// settings returns the fields that the platform's page lists for a process, except those that this deployment has no
// value for.
func (f *fleet) settings(p *process, bootstrap bool) map[string]any {
	m := p.machine
	dataFolder := ""
	if m.disk && p.role == "control" {
		dataFolder = filepath.Join(f.folder, "data-"+m.name)
	}
	var seeds []any
	zones := map[string]any{}
	for _, s := range f.machines {
		zones[s.zone] = regionName
		if s.disk {
			seeds = append(seeds, f.address(s, "control"))
		}
	}
	serves := "front"
	if p.role == "control" {
		serves = "control"
	}
	share, disk := 0.272, 0
	if m.disk {
		share, disk = 0.72, 64
	}
	return map[string]any{
		"node": m.name, "role": p.role, "class": "front", "serves": []any{serves}, "ip": m.ip, "zone": m.zone, "region": regionName, "zones": zones,
		"listen":        map[string]any{"front": f.address(m, "front"), "ready": f.address(m, "ready"), "control": f.address(m, "control")},
		"cluster_ports": []any{f.ports["agreement"], f.ports["links"]}, "seeds": seeds, "bootstrap": bootstrap, "counts_as_loss": m.disk,
		"limits":   map[string]any{"cpu_share": share, "cores": 1, "memory_mb": 284, "max_fds": 4200, "link_mbps": 700.0, "disk_mb": disk},
		"data_dir": dataFolder, "discovery": "registry", "entry": "vip", "heartbeat_ms": heartbeatInterval.Milliseconds(),
		"tolerate": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds":   map[string]any{"grace_s": int(graceTime / time.Second), "drain_ms": drainTime.Milliseconds(), "recovery_s": int(recoveryTime / time.Second), "require_fence": false},
		"cloud":    map[string]any{"addr": f.promoteAddress(), "rate_per_s": 50.0, "duties": []any{"failover"}, "duty_per_s": 50.0},
	}
}

// signal sends a signal to a process that this program started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// stop marks a process as not to be restarted and sends it a signal.
func (p *process) stop(s syscall.Signal) {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(s)
}

func (p *process) endedByItself() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownEnds
}

// close ends every process and removes the temporary folder.
func (f *fleet) close() {
	for _, m := range f.machines {
		for _, p := range m.processes {
			p.stop(syscall.SIGCONT)
			p.stop(syscall.SIGKILL)
		}
	}
	for _, m := range f.machines {
		for _, p := range m.processes {
			p.mu.Lock()
			ended := p.ended
			p.mu.Unlock()
			if ended != nil {
				<-ended
			}
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs are in", f.folder)
	}
}

// ready asks an entry process whether it takes consumers, as the platform does.
func (f *fleet) ready(m *machine) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + f.address(m, "ready") + "/healthz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until every entry process is ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		count := 0
		for _, m := range f.machines {
			if f.ready(m) {
				count++
			}
		}
		if count == len(f.machines) {
			return nil
		}
	}
	return errors.New("not every entry process is ready")
}
