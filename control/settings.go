package control

import (
	"fmt"
	"net"
	"slices"

	"trefoilcourse/coord/budget"
	"trefoilcourse/coord/settings"
	"trefoilcourse/wire/identity"
)

// Settings holds the content of a control VM's settings file.
type Settings struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure-domain"`
	Listen        string `json:"listen"`
	// HTTP serves /healthz and /debug/vars; empty serves neither.
	HTTP string `json:"http,omitempty"`
	// DataFolder holds the log; a VM without one stores nothing and redirects clients to the leader.
	DataFolder string            `json:"data-folder,omitempty"`
	Peers      map[string]string `json:"peers,omitempty"`
	// Seeds are hosts or addresses of some control VMs, instead of Peers; the other VMs are discovered
	// through them. All control VMs listen on the port of Listen.
	Seeds []string `json:"seeds,omitempty"`
	// Bootstrap is set when the whole system starts for the first time: the seeds form the cluster.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// ToleratedLosses is how many control VMs may be lost at once; 0 is 1.
	ToleratedLosses int `json:"tolerated-losses,omitempty"`
	// LeaseMilliseconds is the lease duration of entry VMs; 0 is 2 s.
	LeaseMilliseconds int `json:"lease-milliseconds,omitempty"`
	// Regions maps failure domains to regions. With more than one region, the owners of announced groups
	// are placed in the failure domains of their servers, so that statements cross fewer regions.
	Regions map[string]string `json:"regions,omitempty"`
	// LinkMegabits is the rate of this VM's network link in megabits a second; 0 is 100.
	LinkMegabits float64 `json:"link-megabits,omitempty"`
	// MemoryMegabytes is the memory of this VM and FileDescriptors how many descriptors a process may have;
	// 0 means constant limits.
	MemoryMegabytes float64 `json:"memory-megabytes,omitempty"`
	FileDescriptors int     `json:"file-descriptors,omitempty"`
	// TLS encrypts connections between the system's processes; nil means plain text.
	TLS *identity.Files `json:"tls,omitempty"`
}

const (
	// minLeaseMS allows for a missed renewal; maxLeaseMS is the longest delay that is acceptable.
	minLeaseMS = 800
	maxLeaseMS = 10_000
	// maxToleratedLosses is what seven voters tolerate, the number of VMs reserved for control.
	maxToleratedLosses = 3
	// maxLinkMegabits exceeds any link; it detects a rate given in bits or kilobits.
	maxLinkMegabits = 1_000_000
)

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (Settings, error) {
	var s Settings
	if err := settings.Load(path, &s); err != nil {
		return Settings{}, err
	}
	return s, s.Check()
}

// Check returns an error for the first setting that cannot work.
func (s Settings) Check() error {
	switch {
	case s.VM == "":
		return fmt.Errorf("vm is empty; give this control VM a name")
	case s.LeaseMilliseconds != 0 && (s.LeaseMilliseconds < minLeaseMS || s.LeaseMilliseconds > maxLeaseMS):
		return fmt.Errorf("lease-milliseconds is %d; use a number from %d to %d", s.LeaseMilliseconds, minLeaseMS, maxLeaseMS)
	case s.LinkMegabits < 0 || s.LinkMegabits > maxLinkMegabits:
		return fmt.Errorf("link-megabits is %g; use a number from 0 to %d", s.LinkMegabits, maxLinkMegabits)
	case s.DataFolder == "" && len(s.Seeds) == 0:
		return fmt.Errorf("data-folder is empty; name the folder that keeps the log, or list seeds to send everybody on")
	case s.ToleratedLosses < 0 || s.ToleratedLosses > maxToleratedLosses:
		return fmt.Errorf("tolerated-losses is %d; use a number from 0 to %d", s.ToleratedLosses, maxToleratedLosses)
	case len(s.Seeds) > 0 && len(s.Peers) > 0:
		return fmt.Errorf("both peers and seeds are listed; list one kind")
	case len(s.Seeds) > 0:
		if _, _, err := net.SplitHostPort(s.Listen); err != nil {
			return fmt.Errorf("listen %q: %w", s.Listen, err)
		}
	case len(s.Peers)%2 == 0:
		return fmt.Errorf("peers lists %d control VMs; list an odd number, this one included", len(s.Peers))
	case s.Peers[s.VM] == "":
		return fmt.Errorf("peers does not list %q; include this control VM", s.VM)
	}
	if err := budget.CheckLimits(s.MemoryMegabytes, s.FileDescriptors); err != nil {
		return err
	}
	if s.TLS != nil {
		if s.TLS.Authority == "" {
			return fmt.Errorf("tls has no authority; name the one that the system's certificates come from")
		}
		if err := (&identity.Identity{Files: *s.TLS}).Check(); err != nil {
			return err
		}
	}
	for vm, address := range s.Peers {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("address of peer %q: %w", vm, err)
		}
	}
	return nil
}

// Limits returns what the clients of this process may use.
func (s Settings) Limits() budget.Limits {
	return budget.LimitsOfControl(s.MemoryMegabytes, s.FileDescriptors)
}

// linkBytesPerSecond returns the rate of this VM's link, or 0 if it is not specified.
func (s Settings) linkBytesPerSecond() float64 { return s.LinkMegabits * 1e6 / 8 }

// advertised returns the address at which other control VMs reach this one.
func (s Settings) advertised() string {
	if len(s.Seeds) > 0 {
		return s.Listen
	}
	return s.Peers[s.VM]
}

// configuredAddresses returns the addresses of the other control VMs listed in the settings.
func (s Settings) configuredAddresses() []string {
	var addresses []string
	for vm, address := range s.Peers {
		if vm != s.VM {
			addresses = append(addresses, address)
		}
	}
	for _, seed := range s.seedAddresses() {
		if seed != s.Listen {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// bootstrapSize returns how many control VMs form the cluster at its first start, or 0 if this VM
// is not one of them.
func (s Settings) bootstrapSize() int {
	if len(s.Seeds) == 0 {
		return len(s.Peers)
	}
	if !s.Bootstrap || s.DataFolder == "" || !slices.Contains(s.seedAddresses(), s.Listen) {
		return 0
	}
	return len(s.Seeds)
}

// seedAddresses returns the seeds with the agreement port, which replaces any port they have.
func (s Settings) seedAddresses() []string {
	_, port, _ := net.SplitHostPort(s.Listen)
	var addresses []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			host = seed
		}
		addresses = append(addresses, net.JoinHostPort(host, port))
	}
	return addresses
}
