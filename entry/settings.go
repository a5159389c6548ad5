package entry

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"

	"trefoilcourse/coord/budget"
	"trefoilcourse/coord/regions"
	"trefoilcourse/coord/settings"
	"trefoilcourse/wire/identity"
)

// Settings is what an entry VM reads from its settings file.
type Settings struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure-domain"`
	Callers       string `json:"callers"`
	Links         string `json:"links"`
	HTTP          string `json:"http"`
	Advertise     string `json:"advertise,omitempty"`
	// Metrics serves the counters as text under /metrics, and as JSON under /debug/vars; empty
	// serves the latter on HTTP alone.
	Metrics string   `json:"metrics,omitempty"`
	Control []string `json:"control,omitempty"`
	// Seeds are hosts or addresses of some control VMs, instead of Control; AgreementPort is the port on
	// which control VMs listen for the system's processes.
	Seeds         []string `json:"seeds,omitempty"`
	AgreementPort int      `json:"agreement-port,omitempty"`
	// ProcessorShare is the number of processors that this VM may use, and ProcessorSpeed their speed
	// relative to other VMs; groups are assigned in proportion to the product. 0 means 1 for both.
	ProcessorShare float64 `json:"processor-share,omitempty"`
	ProcessorSpeed float64 `json:"processor-speed,omitempty"`
	// Regions maps failure domains to regions. With more than one region, statements go to the owner with
	// the shortest way to a server that may run them; otherwise they go to the nearest owner.
	Regions map[string]string `json:"regions,omitempty"`
	// GraceMilliseconds is how long a planned stop may take; 0 means a minute for a
	// StatementServer; Server waits for requests under way whatever the value.
	GraceMilliseconds int `json:"grace-milliseconds,omitempty"`
	// KeyLifetimeMilliseconds is how long a removed key may be accepted; 0 means view.ConfirmWithin.
	KeyLifetimeMilliseconds int `json:"key-lifetime-milliseconds,omitempty"`
	// DrainMilliseconds is how long the health check fails before idle callers are closed.
	DrainMilliseconds int `json:"drain-milliseconds,omitempty"`
	// MemoryMegabytes is the memory of this VM and FileDescriptors how many descriptors a process may have;
	// 0 means constant limits.
	MemoryMegabytes float64 `json:"memory-megabytes,omitempty"`
	FileDescriptors int     `json:"file-descriptors,omitempty"`
	// MessageMilliseconds is how long the rest of a caller's message may take; 0 means DefaultMessageTimeout.
	MessageMilliseconds int `json:"message-milliseconds,omitempty"`
	// LearnedConcurrency enables learned-concurrency for all announced groups.
	LearnedConcurrency bool `json:"learned-concurrency,omitempty"`
	// RoomForUrgentWork gives patient statements fewer places on servers in which urgent ones wait.
	RoomForUrgentWork bool `json:"room-for-urgent-work,omitempty"`
	// TLS is used among the system's processes and for announcements; nil leaves them in plain
	// text.
	TLS *identity.Files `json:"tls,omitempty"`
	// CallerTLS is offered to callers; nil refuses TLS.
	CallerTLS *identity.Files `json:"caller-tls,omitempty"`
}

const (
	maxDrainMilliseconds       = 600_000
	maxKeyLifetimeMilliseconds = 600_000
	// minMessageMilliseconds fits a message of 1 MiB at 1.4 Mbit/s, which takes 6 s.
	minMessageMilliseconds = 10_000
	maxMessageMilliseconds = 3_600_000
	// maxProcessors exceeds any VM; it detects a share given in thousandths.
	maxProcessors = 256
	// capacityUnit is the reported capacity of one processor.
	capacityUnit = 1000
)

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (Settings, error) {
	var s Settings
	if err := settings.Load(path, &s); err != nil {
		return Settings{}, err
	}
	return s, s.Check()
}

// Check returns an error for the first invalid setting.
func (s Settings) Check() error {
	switch {
	case s.VM == "":
		return fmt.Errorf("vm is empty; give this entry VM a name")
	case s.FailureDomain == "":
		return fmt.Errorf("failure-domain is empty; name the failure domain of this VM")
	case len(s.Control) == 0 && len(s.Seeds) == 0:
		return fmt.Errorf("control lists no address; list the control VMs, or some as seeds")
	case len(s.Seeds) > 0 && s.AgreementPort <= 0:
		return fmt.Errorf("agreement-port is %d; give the port of the control VMs", s.AgreementPort)
	case s.ProcessorShare < 0 || s.ProcessorShare > maxProcessors || s.ProcessorSpeed < 0 || s.ProcessorSpeed > maxProcessors:
		return fmt.Errorf("processor-share is %g and processor-speed %g; use numbers from 0 to %d", s.ProcessorShare, s.ProcessorSpeed, maxProcessors)
	case s.DrainMilliseconds < 0 || s.DrainMilliseconds > maxDrainMilliseconds:
		return fmt.Errorf("drain-milliseconds is %d; use a number from 0 to %d", s.DrainMilliseconds, maxDrainMilliseconds)
	}
	if s.KeyLifetimeMilliseconds < 0 || s.KeyLifetimeMilliseconds > maxKeyLifetimeMilliseconds {
		return fmt.Errorf("key-lifetime-milliseconds is %d; use a number from 0 to %d", s.KeyLifetimeMilliseconds, maxKeyLifetimeMilliseconds)
	}
	if s.MessageMilliseconds != 0 && (s.MessageMilliseconds < minMessageMilliseconds || s.MessageMilliseconds > maxMessageMilliseconds) {
		return fmt.Errorf("message-milliseconds is %d; use a number from %d to %d, or 0", s.MessageMilliseconds, minMessageMilliseconds, maxMessageMilliseconds)
	}
	if err := budget.CheckLimits(s.MemoryMegabytes, s.FileDescriptors); err != nil {
		return err
	}
	if s.TLS != nil && s.TLS.Authority == "" {
		return fmt.Errorf("tls has no authority; name the file with the certificate authority of the system")
	}
	for _, files := range []*identity.Files{s.TLS, s.CallerTLS} {
		if files == nil {
			continue
		}
		if err := (&identity.Identity{Files: *files}).Check(); err != nil {
			return err
		}
	}
	for _, address := range append([]string{s.Callers, s.Links, s.HTTP}, s.Control...) {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("address %q: %w", address, err)
		}
	}
	return nil
}

// capacity returns the processor capacity in thousandths of a processor; 0 means unspecified.
func (s Settings) capacity() uint32 {
	if s.ProcessorShare == 0 && s.ProcessorSpeed == 0 {
		return 0
	}
	share, speed := cmp.Or(s.ProcessorShare, 1), cmp.Or(s.ProcessorSpeed, 1)
	return uint32(max(1, share*speed*capacityUnit))
}

// severalRegions returns Regions, or nil if they are one region: the nearest owner is then near enough.
func (s Settings) severalRegions() map[string]string {
	if !regions.Several(s.Regions) {
		return nil
	}
	return s.Regions
}

func (s Settings) drainDelay() time.Duration {
	return time.Duration(s.DrainMilliseconds) * time.Millisecond
}

// control returns the addresses of the control VMs listed in Control and Seeds.
func (s Settings) control() []string {
	addresses := slices.Clone(s.Control)
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			host = seed
		}
		addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(s.AgreementPort)))
	}
	return addresses
}
